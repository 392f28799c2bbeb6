#pragma once

/// Four entry hosts, two targets and a caller on a virtual clock and a simulated network: the way
/// of one job whose caller, hosts or target are lost.

#include "hawthornstall/net/link_state.hpp"
#include "hawthornstall/runs/dispatch_logic.hpp"
#include "hawthornstall/runs/fake_worker.hpp"

#include <deque>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace hawthornstall::runs {

/// Who is lost. The four entry hosts have one role each.
enum class lost_part : std::uint8_t { caller, front_end, scheduler, holder, target };

/// How it is lost.
enum class loss_kind : std::uint8_t {
    killed,         ///< The process ends; what it has sent may arrive late.
    dark,           ///< The machine loses power; what it has sent may be lost.
    frozen,         ///< The process stands still for a while and goes on.
    cut_outgoing,   ///< Nothing that it sends arrives.
    cut_incoming,   ///< Nothing that is sent to it arrives.
    restarted,      ///< As killed; a new process starts 300 ms later.
    cut_from_hosts, ///< Nothing arrives between it and the other hosts; targets answer.
    cut_to_other,   ///< Nothing that it sends to `other` arrives.
    cut_from_other, ///< Nothing that `other` sends to it arrives.
    cut_between,    ///< Nothing arrives between it and `other`.
    cut_off,        ///< Nothing arrives at it or from it, and it runs on.
    reborn,         ///< A target's process ends; a new one with the same id starts 500 ms later.
};

/// Another loss of the same scenario.
struct second_loss {
    lost_part part = lost_part::front_end;
    loss_kind kind = loss_kind::killed;
    core::duration_ms lost_at{};
    core::duration_ms frozen_for{650};
};

/// One loss. All times count from the caller's request.
struct loss_scenario {
    lost_part part = lost_part::front_end;
    loss_kind kind = loss_kind::killed;
    bool stops_answered = true;        ///< Otherwise the targets neither execute nor answer stops.
    core::duration_ms lost_at{};       ///< After the run has started.
    core::duration_ms frozen_for{650}; ///< Of a frozen part.
    lost_part other = lost_part::scheduler; ///< Other end of a cut link.
    std::optional<second_loss> second{};
    lost_part entry = lost_part::front_end; ///< The host that the caller submits its job to.
    core::duration_ms deadline{1'500};
    core::duration_ms estimated{900};
    double fault_share = 0.0; ///< Of packets that are sent again, and of calls lost or late.
    unsigned seed = 1;
    double front_end_rate = 1.0;            ///< Of the clock of the host "front-end".
    std::uint32_t tasks = 1;                ///< Of the job; a target has room for two.
    core::duration_ms longest_delay{3'000}; ///< Of calls that are executed late.
    /// Whether the lease that a late call grants counts from its execution.
    bool late_leases_count_anew = false;
    core::duration_ms announced_after{1'000}; ///< From a restart of a target's process.
};

/// What became of the run that was lost. All times count from the caller's request.
struct loss_outcome {
    bool started = false;
    core::duration_ms caller_returns_at{}; ///< Earliest time of a second submission.
    core::duration_ms last_execution{};    ///< Of the first attempt, on any target.
    core::duration_ms longest_gap{};       ///< In which no run executed, between two runs.
    bool overlapped = false; ///< Two runs of the task executed on two targets at the same time.
};

/// Plays one scenario. The run never ends by itself, so it executes until the system or its lease
/// ends it. The caller submits its job again as soon as it may, through another front end.
class lost_host_simulation {
public:
    explicit lost_host_simulation(const loss_scenario& scenario);

    [[nodiscard]] loss_outcome run();

private:
    static constexpr core::duration_ms network_delay{1};
    static constexpr core::duration_ms restart_time{500}; ///< Of a target's process.
    static constexpr double slow_clock_rate = 0.98;       ///< Of the targets' clocks.

    /// The links of one process, as dispatch_logic sees them.
    struct host_links {
        [[nodiscard]] net::sign_of_life last_sign_of_life(std::string_view peer) const;

        std::map<std::string, net::link_state, std::less<>> states;
        std::map<std::string, core::time_ms, std::less<>> last_sent;
    };

    /// A message between two hosts.
    struct packet {
        core::time_ms due{};
        std::string from;
        std::string to;
        net::peer_envelope envelope;
        std::uint64_t connection = 1;
        std::vector<run_message> messages; ///< Content of a data envelope.
    };

    /// A call on its way to a target, or its answer on the way back.
    struct pending_call {
        core::time_ms due{};
        std::string host;
        target_call call;
        std::optional<call_answer> answer; ///< Empty until the target has answered.
        std::uint64_t process = 1;         ///< Incarnation of the host that calls.
        std::uint64_t incarnation = 1;     ///< Of the target's process that the call has reached.
    };

    struct host_process {
        host_process(const std::string& name, const std::string& zone, double weight,
                     std::uint64_t number, core::time_ms now);

        std::uint64_t process = 1;
        dispatch_logic logic;
        host_links links;
        std::deque<packet> unread;             ///< Arrived while the process was frozen.
        std::deque<pending_call> unread_calls; ///< Answers that arrived meanwhile.
        bool has_input = false;
    };

    [[nodiscard]] bool is_lost(std::string_view name, loss_kind kind) const;
    [[nodiscard]] bool has_ended(std::string_view name) const;
    [[nodiscard]] std::string name_of(lost_part part) const;
    [[nodiscard]] core::time_ms local(std::string_view host) const;
    void restart_process();
    [[nodiscard]] bool is_running(std::string_view host) const;
    [[nodiscard]] bool is_frozen(std::string_view name) const;
    [[nodiscard]] bool is_path_up(std::string_view from, std::string_view to) const;

    void choose_targets();
    void step();
    void deliver_packets();
    void receive(host_process& host, const packet& item);
    void deliver_calls();
    void execute(pending_call& item);
    [[nodiscard]] bool lose(const pending_call& item, bool can_execute);
    void execute_late_calls();
    void execute_late(const pending_call& item);
    void restart_target();
    void announce_targets(const std::string& name, host_process& host);
    void break_calls_to_target();
    [[nodiscard]] std::optional<core::duration_ms> time_of(lost_part part, loss_kind kind) const;
    void thaw();
    void check_links(const std::string& name, host_process& host);
    void flush(const std::string& name, host_process& host);
    void send(const std::string& from, const std::string& to, net::envelope_kind kind,
              std::vector<run_message> messages);
    void call_target(const std::string& host, const target_call& call);
    void act_as_caller();
    void submit(const std::string& front_end);
    void observe();
    [[nodiscard]] core::duration_ms since_request() const { return now_ - requested_at_; }

    loss_scenario scenario_;
    core::time_ms now_;
    core::time_ms requested_at_;
    std::map<std::string, host_process> hosts_;
    std::map<std::string, fake_worker> targets_;
    std::string target_; ///< The one that gets the first run.
    std::vector<packet> packets_;
    std::vector<pending_call> calls_;
    std::map<std::string, std::set<run_name>> first_attempt_; ///< Its runs, by target.
    bool caller_left_ = false;
    bool submitted_again_ = false;
    std::set<std::string> frozen_;
    bool has_restarted_ = false;
    bool has_target_restarted_ = false;
    bool is_restart_announced_ = false;
    bool was_broken_ = false;
    bool is_request_waiting_ = false;
    std::mt19937 random_;
    std::map<std::pair<std::string, std::string>, core::time_ms> link_due_;
    std::vector<pending_call> late_calls_;
    [[nodiscard]] bool chance();
    loss_outcome outcome_;
};

} // namespace hawthornstall::runs
