#pragma once

/// The decisions of an entry host that runs jobs on leased targets, without sockets and encodings.

#include "hawthornstall/discovery/target_directory.hpp"
#include "hawthornstall/net/link_state.hpp"
#include "hawthornstall/runs/dispatch_event.hpp"
#include "hawthornstall/runs/host_membership.hpp"
#include "hawthornstall/runs/job_cancellations.hpp"
#include "hawthornstall/runs/job_front_end.hpp"
#include "hawthornstall/runs/job_scheduler.hpp"
#include "hawthornstall/runs/target_holder.hpp"

#include <concepts>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace hawthornstall::runs {

/// What the links of a host tell about the life of its peers; see net::link_state.
template <class Links>
concept peer_liveness = requires(const Links& links, std::string_view peer) {
    { links.last_sign_of_life(peer) } -> std::same_as<net::sign_of_life>;
};

/// What an entry host has to do, collected since the last take_effects().
struct dispatch_effects {
    std::vector<dispatch_event> events{};
    std::vector<target_call> calls{};
    std::vector<job_answer> answers{};
    std::vector<cancellation_answer> cancellations{};
    std::map<std::string, std::vector<run_message>, std::less<>> messages{}; ///< By receiver.
};

/// The event of a change of the link to `peer`.
[[nodiscard]] dispatch_event link_event(std::string_view peer, net::link_change change,
                                        const net::link_condition& condition);

/// Front end, scheduler and lease holder of one entry host, and its view of the other hosts. Passes
/// the messages between the three and names what is to be sent, called, answered and logged.
class dispatch_logic {
public:
    /// `incarnation` is that of the process; `host_bits` make its fencing tokens unique.
    dispatch_logic(const discovery::host_record& host, run_bounds bounds, std::uint64_t incarnation,
                   std::uint64_t host_bits, core::time_ms now,
                   placement_policy policy = placement_policy::fit);

    /// Takes a message of another entry host.
    template <peer_liveness Links>
    void receive(const std::string& from, run_message message, const Links& links,
                 core::time_ms now) {
        if (std::holds_alternative<start_run>(message)) {
            holder_.front_end_alive(from, links.last_sign_of_life(from));
        }
        deliver(from, std::move(message), now);
    }

    /// Takes a change of the link to another entry host.
    void link_changed(std::string_view peer, net::link_change change, core::time_ms now);

    /// Makes all decisions that depend on time.
    template <peer_liveness Links>
    void tick(const Links& links, core::time_ms now, core::time_ms wall) {
        for (const auto& [name, known] : holder_.front_ends().all()) {
            holder_.front_end_alive(name, name == self() ? net::sign_of_life{now, now}
                                                         : links.last_sign_of_life(name));
        }
        on_tick(now, wall);
    }

    /// Takes a caller's job whose request was read at `arrived`, which is `now` unless it has
    /// waited for the configuration.
    void open(std::uint64_t request, job_request job, core::time_ms arrived, core::time_ms now);
    void caller_left(std::uint64_t request, core::time_ms now);

    /// Takes a caller's request to cancel the job `id`, wherever its own caller waits.
    void cancel(std::uint64_t request, const std::string& id, core::time_ms now);

    /// Takes the answer of a target to a call.
    void answered(const target_call& call, const call_answer& answer, core::time_ms now);

    /// From now on nothing is started on the targets of `zones`, and on those of all other zones it
    /// may be. Runs that are under way go on.
    void set_drained_zones(std::span<const std::string> zones);

    /// Starts to leave: other hosts take over the scheduling and the targets.
    void leave(core::time_ms now);

    [[nodiscard]] dispatch_effects take_effects(core::time_ms now);

    /// Whether no job is open and no run is on a held target.
    [[nodiscard]] bool idle() const;

    /// What is known about the targets. Announcements are entered here.
    [[nodiscard]] discovery::target_directory& directory() noexcept { return directory_; }
    [[nodiscard]] const discovery::target_directory& directory() const noexcept {
        return directory_;
    }
    [[nodiscard]] const host_membership& hosts() const noexcept { return hosts_; }
    [[nodiscard]] const target_holder& holder() const noexcept { return holder_; }
    [[nodiscard]] const job_scheduler& scheduler() const noexcept { return scheduler_; }

private:
    [[nodiscard]] const std::string& self() const noexcept { return hosts_.self().host.name; }

    void deliver(const std::string& from, run_message message, core::time_ms now);
    void on_message(const std::string& from, submit_job&& message, core::time_ms now);
    void on_message(const std::string& from, const cancel_job& message, core::time_ms now);
    void on_message(const std::string& from, const job_ended& message, core::time_ms now);
    void on_message(const std::string& from, const grant_run& message, core::time_ms now);
    void on_message(const std::string& from, const start_run& message, core::time_ms now);
    void on_message(const std::string& from, const stop_run& message, core::time_ms now);
    void on_message(const std::string& from, const run_ended& message, core::time_ms now);
    void on_message(const std::string& from, const target_report& message, core::time_ms now);
    void on_message(const std::string& from, const host_presence& message, core::time_ms now);
    void on_message(const std::string& from, const revoke_runs& message, core::time_ms now);
    void on_message(const std::string& from, const stop_submission& message, core::time_ms now);
    void on_message(const std::string& from, const cancel_by_id& message, core::time_ms now);
    void on_message(const std::string& from, const cancel_result& message, core::time_ms now);

    void on_tick(core::time_ms now, core::time_ms wall);
    void end_joint_work(std::string_view peer, core::time_ms now);
    void update_scheduler(core::time_ms now);
    /// The presence message of this host, with the targets that it holds now.
    [[nodiscard]] const host_presence& current_presence();
    void send_presence(core::time_ms now);
    void take_scheduler_effects();
    void take_holder_effects(core::time_ms now);
    void take_front_end_effects();
    void take_cancellation_effects();
    void route(std::vector<addressed_message>& messages);

    discovery::target_directory directory_;
    host_membership hosts_;
    job_front_end front_end_;
    job_cancellations cancellations_;
    job_scheduler scheduler_;
    target_holder holder_;

    std::set<std::string, std::less<>> reachable_; ///< Entry hosts whose links are up.
    std::deque<run_message> local_messages_;       ///< From this host to itself.
    std::optional<std::string> last_scheduler_;
    core::time_ms last_tick_{};
    core::time_ms presence_due_{};
    dispatch_effects effects_;
};

} // namespace hawthornstall::runs
