#pragma once

/// The targets whose leases this host holds: claims them, releases them, and starts and stops runs
/// on them.

#include "hawthornstall/discovery/target_directory.hpp"
#include "hawthornstall/runs/front_end_liveness.hpp"
#include "hawthornstall/runs/host_membership.hpp"
#include "hawthornstall/runs/target_session.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace hawthornstall::runs {

/// Generates fencing tokens. Those for one target increase and differ from those of all other
/// hosts; several targets may share one. A token has seconds in its high bits and the host's bits
/// in its low ones. The seconds stay close to the clock however many targets are claimed: a holder
/// that is lost would otherwise leave tokens behind that its successors cannot exceed for a while.
class fencing_tokens {
public:
    /// The low 24 bits of `host_bits` must differ between hosts.
    explicit fencing_tokens(std::uint64_t host_bits) : host_bits_(host_bits & host_mask) {}

    /// Next token for `target`, from the wall clock. The first ones are a second ahead of it, so
    /// that they are higher than those of an earlier process of this host.
    [[nodiscard]] std::uint64_t next(std::string_view target, core::time_ms wall);

    /// Makes the next token for `target` skip ahead. Called after the target refused a token
    /// because another holder, whose clock may be ahead, has used a higher one. The skip is 4 s and
    /// doubles with each further call, up to 64 s, until the wall clock has passed the last token.
    void skip_ahead(std::string_view target);

private:
    static constexpr std::uint64_t first_skip_s = 4;
    static constexpr std::uint64_t longest_skip_s = 64;
    static constexpr unsigned host_bit_count = 24;
    static constexpr std::uint64_t host_mask = (std::uint64_t{1} << host_bit_count) - 1;
    /// 2020-01-01 as Unix time. Counting from there keeps tokens within the 53 bits that JSON
    /// numbers represent exactly until 2037.
    static constexpr std::int64_t token_origin_s = 1'577'836'800;

    /// The last token of a target.
    struct used_token {
        std::uint64_t second = 0; ///< Since `token_origin_s`; more after skip_ahead().
        std::uint64_t skip_s = first_skip_s;
    };

    std::uint64_t host_bits_;
    std::uint64_t latest_second_ = 0; ///< Of the wall clock; a second ahead at first.
    /// Tokens that the wall clock has not passed yet, by target.
    std::map<std::string, used_token, std::less<>> used_;
};

/// An event of a session with the target that it concerns.
struct target_event {
    std::string target{};
    session_event event{};
};

/// Calls to make, messages to send and events to log, collected since the last take_effects().
struct holder_effects {
    std::vector<target_call> calls;
    std::vector<addressed_message> messages;
    std::vector<target_event> events;
    bool held_changed = false; ///< The list of held targets differs from before.
};

/// Holds the leases of this host's targets and starts and stops runs on them. Does no I/O.
class target_holder {
public:
    target_holder(run_bounds bounds, std::uint64_t host_bits, core::time_ms now);

    /// Records the last sign of life of a front end.
    void front_end_alive(std::string_view front_end, const net::sign_of_life& sign) {
        front_ends_->update(front_end, sign);
    }

    /// The last signs of life of the front ends that have started runs here.
    [[nodiscard]] const front_end_liveness& front_ends() const noexcept { return *front_ends_; }

    /// Starts a run of `front_end` on a held target, or reports it as rejected.
    void start(const std::string& front_end, const start_run& message, core::time_ms now);

    /// Rejects starts on the targets of `zones` from now on, and reports these as not usable.
    void set_drained_zones(std::span<const std::string> zones) {
        drained_zones_ = {zones.begin(), zones.end()};
    }

    /// Whether the zone of a target is drained.
    [[nodiscard]] bool is_drained(const discovery::target_record& record) const {
        return drained_zones_.contains(record.zone);
    }

    /// Stops the runs of a submission of a front end. Their starts cannot arrive later: both come
    /// on the link from the front end, which keeps their order.
    void stop_submission_of(std::string_view front_end, const stop_submission& message,
                            core::time_ms now);

    /// Stops all runs of a front end whose link is lost or interrupted: it may have told their
    /// callers to return.
    void front_end_unreachable(std::string_view front_end, core::time_ms now);

    /// Stops a run. If the run is not known, its start message is rejected when it arrives later:
    /// start and stop come from different hosts and may arrive in either order.
    void stop(const std::string& scheduler, const stop_run& message, core::time_ms now);

    /// Stops all runs of a scheduler whose link is lost or interrupted, and rejects its starts
    /// until revoke().
    void scheduler_unreachable(std::string_view scheduler, core::time_ms now);

    /// Stops the runs that a scheduler has given up, and rejects their starts from now on.
    void revoke(const std::string& scheduler, const revoke_runs& message, core::time_ms now);

    /// Takes the answer of a target to `call`. The answer to a call of an earlier session with the
    /// target is ignored.
    void answered(const target_call& call, const call_answer& answer, core::time_ms now);

    /// Claims and releases targets, renews leases and reports to schedulers.
    void tick(const discovery::target_directory& directory, const host_membership& hosts,
              core::time_ms now, core::time_ms wall);

    [[nodiscard]] holder_effects take_effects();

    /// Ids of the held targets.
    [[nodiscard]] std::vector<std::string> held() const;

    /// The session with a held target; null when it is not held.
    [[nodiscard]] const target_session* find(std::string_view target) const;

    /// Whether no held target has a run.
    [[nodiscard]] bool idle() const;

private:
    [[nodiscard]] bool may_claim(const host_membership& hosts, core::time_ms now);
    void claim_targets(const discovery::target_directory& directory, const host_membership& hosts,
                       core::time_ms now, core::time_ms wall);
    void release_targets(const discovery::target_directory& directory, const host_membership& hosts,
                         core::time_ms now, core::time_ms wall);
    void report_to(const std::string& scheduler, core::time_ms now);
    void reject(const run_key& run, std::string_view reason);
    [[nodiscard]] std::string_view reason_to_reject(const run_key& run) const;
    void collect_effects(target_session& session);

    /// A session with a held target.
    struct held_session {
        target_session session;
        core::time_ms claimed_at{}; ///< When the claim began.
        bool released = false;      ///< Takes no new runs; removed once it is idle.
    };

    void follow_announcement(held_session& held, const discovery::target_record& record,
                             core::time_ms now, core::time_ms wall);

    run_bounds bounds_;
    fencing_tokens tokens_;
    std::unique_ptr<front_end_liveness> front_ends_; ///< Sessions refer to it.
    std::map<std::string, held_session, std::less<>> sessions_;
    std::map<std::string, core::time_ms, std::less<>> retry_at_;   ///< Next claim, by target.
    std::map<std::string, core::time_ms, std::less<>> schedulers_; ///< Last start of each.
    std::map<run_key, core::time_ms> early_stops_;                 ///< Stops of unknown runs.
    std::set<std::string, std::less<>> drained_zones_;
    std::set<std::string, std::less<>> lost_schedulers_; ///< Have not revoked their runs since.
    std::map<std::string, std::uint64_t, std::less<>> revoked_; ///< Last revoked key, by scheduler.

    /// The report that a scheduler got last, to skip unchanged ones.
    struct sent_report {
        target_report report;
        core::time_ms sent{};
    };
    std::map<std::string, sent_report, std::less<>> reports_; ///< Last report, by scheduler.
    core::time_ms first_claim_at_;                            ///< At the latest.
    std::uint64_t joins_seen_ = 0; ///< host_membership::joins() at the last tick.
    core::time_ms last_join_at_{}; ///< When that number has changed.
    core::time_ms report_due_{};
    holder_effects effects_;
};

} // namespace hawthornstall::runs
