#pragma once

/// One target whose lease this host holds: its fencing token, its lease and its runs.

#include "hawthornstall/discovery/target_record.hpp"
#include "hawthornstall/runs/front_end_liveness.hpp"
#include "hawthornstall/runs/run_messages.hpp"
#include "hawthornstall/runs/target_call.hpp"
#include "hawthornstall/runs/target_lease.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace hawthornstall::runs {

/// The end of a run, addressed to the scheduler that granted it.
struct session_report {
    std::string scheduler{};
    run_ended ended{};
};

/// A change of the session, or a call without the expected outcome, to be logged.
struct session_event {
    std::string_view what{}; ///< For example "target_claimed".
    std::string job{};       ///< Id of the job concerned, if any.
    std::string detail{};
};

/// Calls to make, ends to report and events to log, collected since the last take_effects().
struct session_effects {
    std::vector<target_call> calls{};
    std::vector<session_report> reports{};
    std::vector<session_event> events{};
};

/// Renews the lease of one target and starts, stops and tracks the runs on it. Does no I/O. A run
/// occupies its resources until the target lists its end, or until it is certain that the run does
/// not exist and cannot start any more: a start without an answer may be executed seconds later.
/// The lease is not extended while a stop is unanswered: a run that cannot be stopped ends with the
/// lease, since its task may start elsewhere by then. Nor does the lease reach beyond the time at
/// which the caller of a run can submit its job again if the run's front end has ended since it was
/// last heard of: no run outlives what its caller waits, whether it can be stopped or not.
class target_session {
public:
    /// Claims the target with `token`. No run starts until the target has listed the runs of an
    /// earlier lease holder and all of them have ended. `front_ends` must outlive the session.
    target_session(discovery::target_record record, std::uint64_t token, run_bounds bounds,
                   const front_end_liveness& front_ends, core::time_ms now);

    /// Whether `record` announces another process than the session is with. A process that the
    /// session has noticed by itself is announced later.
    [[nodiscard]] bool is_restart(const discovery::target_record& record) const noexcept;

    /// Takes a later announcement of the same process.
    void update(const discovery::target_record& record) { record_ = record; }

    /// Claims another process of the target with a new token. With the old one it would execute
    /// delayed calls that were meant for its predecessor, which it does not know.
    void claim_restarted(const discovery::target_record& record, std::uint64_t token,
                         core::time_ms now);

    /// Whether the target has restarted and the new process has not been claimed.
    [[nodiscard]] bool has_restarted() const noexcept { return restarted_; }

    /// As claim_restarted(), for a process that is not announced yet. No run starts on it before.
    void claim_unannounced(std::uint64_t token, core::time_ms now);

    /// Starts a run of `front_end`, or reports it as rejected if the target cannot take it.
    void start(const std::string& front_end, const start_run& message, core::time_ms now);

    /// Stops a run. Returns false when the run is not known.
    bool stop(const run_key& key, core::time_ms now);

    /// Stops the runs of a scheduler whose keys are at most `last_key`.
    void stop_all_of(std::string_view scheduler, std::uint64_t last_key, core::time_ms now);

    /// Stops the runs of a submission of a front end.
    void stop_submission_of(std::string_view front_end, std::uint64_t submission,
                            core::time_ms now);

    /// Stops all runs of a front end.
    void stop_all_of_front_end(std::string_view front_end, core::time_ms now);

    /// Takes the answer to the call with number `call`, or the fault that replaced it.
    void answered(std::uint64_t call, const call_answer& answer, core::time_ms now);

    /// Repeats calls that are due and ends runs whose leases have expired.
    void tick(core::time_ms now);

    [[nodiscard]] session_effects take_effects() { return std::exchange(effects_, {}); }

    /// Whether new runs can be started.
    [[nodiscard]] bool usable() const noexcept;

    /// Why no new runs can be started; empty when they can.
    [[nodiscard]] std::string_view reason_not_usable() const noexcept;

    /// Number of runs that are, or may be, on the target.
    [[nodiscard]] std::size_t open_runs() const noexcept { return runs_.size(); }

    /// Whether the claim has succeeded: the target has listed its runs to this host.
    [[nodiscard]] bool is_claimed() const noexcept { return claimed_; }

    /// Whether another holder has taken the target over.
    [[nodiscard]] bool is_fenced() const noexcept { return fenced_; }

    /// Whether no run of this session is, or may be, on the target.
    [[nodiscard]] bool idle() const noexcept { return runs_.empty(); }

    /// Resources occupied by the runs of all other schedulers.
    [[nodiscard]] core::resources used_by_others(std::string_view scheduler) const;
    [[nodiscard]] const discovery::target_record& record() const noexcept { return record_; }
    [[nodiscard]] std::uint64_t token() const noexcept { return token_; }

private:
    enum class phase : std::uint8_t {
        starting,       ///< The start call is in flight.
        running,        ///< The target has confirmed the start.
        stopping,       ///< A stop call is in flight.
        stop_confirmed, ///< The target has confirmed the stop; the next listing ends the run.
        awaiting_claim, ///< The target has restarted and may execute the run until it is claimed.
    };

    /// A run that is, or may be, on the target.
    struct run_entry {
        std::optional<run_key> key{}; ///< Empty for a run of an earlier lease holder.
        run_name run{};
        core::resources resources{};
        std::string front_end{};
        std::uint64_t submission = 0;     ///< Number of the submission at the front end.
        core::time_ms caller_leaves_at{}; ///< On the front end's clock.
        bool was_seen = false;            ///< The target has confirmed the start or listed the run.
        phase state = phase::starting;
        core::time_ms started{};
        core::time_ms state_since{}; ///< When `state` was entered.

        /// Whether a stop has to be sent to end the run.
        [[nodiscard]] bool needs_stop() const noexcept {
            return state == phase::starting || state == phase::running;
        }
    };

    /// A call whose answer is awaited.
    struct pending_call {
        target_request request{};
        core::time_ms sent{};
    };

    void handle(const start_call& request, const pending_call& call, const call_answer& answer,
                core::time_ms now);
    void handle(const stop_call& request, const pending_call& call, const call_answer& answer,
                core::time_ms now);
    void handle(const list_call& request, const pending_call& call, const call_answer& answer,
                core::time_ms now);
    void apply_listing(const run_listing& listing, core::time_ms sent, core::time_ms now);
    void stop_unknown_runs(const run_listing& listing, core::time_ms now);
    void end_missing_runs(const run_listing& listing, core::time_ms sent, core::time_ms now);
    [[nodiscard]] bool is_of_later_process(const call_answer& answer) const noexcept;
    void record_answer(const pending_call& call, const call_answer& answer, core::time_ms now);
    void handle_restart(core::time_ms now);
    void handle_replaced(core::time_ms now);
    void handle_fenced(core::time_ms now);
    void forget_process();
    void record_late_call(const pending_call& call);
    [[nodiscard]] bool may_be_in_later_process(const run_entry& entry) const noexcept;
    void request_listing(core::duration_ms wait, core::time_ms now);
    void poll(core::time_ms now);
    void send_stop(run_entry& entry, core::time_ms now);
    void finish(std::vector<run_entry>::iterator entry, run_end end, core::time_ms now,
                std::string_view reason = {});
    void end_expired_runs(core::time_ms now);
    void finish_all(run_end end, core::duration_ms restart_delay, core::time_ms now);
    [[nodiscard]] core::duration_ms time_until_ended() const noexcept;
    void report(const run_entry& entry, run_end end, core::duration_ms restart_delay,
                core::time_ms now, std::string_view reason = {});
    void log_run(std::string_view what, const run_entry& entry);
    void log_target(std::string_view what);
    [[nodiscard]] std::string_view reason_to_reject(const start_run& message) const;
    void send_call(target_request request, core::duration_ms timeout, core::time_ms now);
    [[nodiscard]] std::optional<std::int64_t> renew_lease(core::time_ms now);
    [[nodiscard]] std::vector<run_entry>::iterator find(const run_name& run);
    [[nodiscard]] bool has_earlier_holders_runs() const noexcept;
    [[nodiscard]] core::time_ms latest_end(const run_entry& entry) const;
    [[nodiscard]] std::int64_t longest_lease_end(core::time_ms now) const;
    [[nodiscard]] bool has_unanswered_stop() const noexcept;

    discovery::target_record record_;
    std::uint64_t token_;
    run_bounds bounds_;
    const front_end_liveness* front_ends_;
    target_lease lease_;
    std::vector<run_entry> runs_;
    std::map<std::uint64_t, pending_call> pending_calls_;
    std::uint64_t last_call_ = 0;
    std::uint64_t ends_seen_ = 0;            ///< Highest number of an end that was listed.
    std::uint64_t ends_acknowledged_ = 0;    ///< Highest number sent back to the target.
    core::time_ms next_listing_at_{};        ///< Earliest time at which tick() sends a listing.
    std::optional<std::uint64_t> long_poll_; ///< Number of the renewing long poll in flight.
    std::optional<std::uint64_t> idle_poll_; ///< Number of the long poll of an idle target.
    bool claimed_ = false;
    bool reachable_ = true;
    int unanswered_listings_ = 0; ///< In a row.
    bool fenced_ = false;
    std::uint64_t incarnation_;           ///< Of the target's process; 0 if unknown.
    core::time_ms incarnation_seen_at_{}; ///< When the last listing of this incarnation was sent.
    bool restarted_ = false; ///< The target has restarted and has not been claimed again yet.
    bool replaced_ = false;  ///< Another target is at the address.
    session_effects effects_;
};

} // namespace hawthornstall::runs
