#pragma once

/// Simulation of one zone on a virtual clock: real dispatchers with simulated network, targets and
/// callers, and fault injection. Messages between hosts arrive in order after a fixed delay unless
/// a host is partitioned.

#include "hawthornstall/entry/dispatcher.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace hawthornstall::entry::testing {

/// One start of a task, as observed by its target.
struct observed_start {
    std::string task_id;
    std::uint32_t attempt = 0;
    std::string target;
    core::time_ms at{};
};

/// A call of a caller and all answers that it got.
struct observed_call {
    core::job_request job;
    std::vector<core::job_answer> answers;
    core::time_ms sent{};
    core::time_ms answered{};
};

/// How a target treats its tasks.
enum class target_behaviour : std::uint8_t {
    normal,
    failing, ///< Fails every task at once.
    silent,  ///< Runs tasks but does not renew its lease.
    dead,    ///< Refuses connections and announces nothing.
};

/// The zone and its faults. All times are virtual; nothing happens outside run_for().
class zone_harness {
public:
    static constexpr core::duration_ms link_delay{1};
    static constexpr core::duration_ms run_time{100};

    /// Starts the hosts "h1" to "hN" of one zone, with journal replicas on the first three.
    explicit zone_harness(std::size_t host_count, core::service_document document);

    /// Adds a target that announces itself every second.
    void add_target(const std::string& name, std::uint32_t slots);
    void set_behaviour(const std::string& target, target_behaviour behaviour) {
        targets_.at(target).behaviour = behaviour;
    }
    /// Makes the target announce at once that it is leaving.
    void leave(const std::string& target);

    /// Makes the target announce at once that it runs the tasks of `services` only.
    void set_services(const std::string& target, std::vector<std::string> services);

    /// Sends a job to `host` and returns its index in calls().
    std::size_t call(std::string_view host, core::job_request job);

    /// Advances the virtual clock in steps of 1 ms.
    void run_for(core::duration_ms duration);

    /// Ends the host's process; its state is lost.
    void kill(const std::string& host);
    /// Starts a new process of a killed host, without saved state.
    void restart(const std::string& host);

    /// A paused host neither receives nor sends; messages to it are delivered when it resumes.
    void pause(const std::string& host) { hosts_.at(host).paused = true; }
    void resume(const std::string& host) { hosts_.at(host).paused = false; }

    /// Requests a graceful shutdown of the host.
    void shut_down(const std::string& host);

    /// Drops all messages between `host` and the other hosts. Both sides find the other unreachable
    /// after net::silence_limit.
    void partition(const std::string& host, bool is_partitioned);

    /// Host that serves the service, as seen by `host`; empty when there is none.
    [[nodiscard]] std::string owner(const std::string& host) const;

    [[nodiscard]] const std::vector<observed_start>& starts() const { return starts_; }
    [[nodiscard]] const std::vector<observed_call>& calls() const { return calls_; }
    [[nodiscard]] core::time_ms now() const { return now_; }
    [[nodiscard]] bool is_drained(const std::string& host) const {
        return hosts_.at(host).logic->is_drained();
    }

    /// Submission identifier that is valid in the generation of the owner that `host` sees.
    [[nodiscard]] core::submission_id make_id(const std::string& host, std::string_view key) const;

private:
    struct host_state {
        std::unique_ptr<dispatcher> logic;
        std::uint64_t start_count = 0; ///< Events for an earlier process are dropped.
        std::uint64_t incarnation = 0;
        bool alive = true;
        bool paused = false;
        bool partitioned = false;
    };
    struct target_state {
        core::target_announcement announcement;
        target_behaviour behaviour = target_behaviour::normal;
    };
    struct event {
        std::string host;
        std::uint64_t start_count = 0;
        std::function<dispatcher_message()> make;
    };

    void start_host(const std::string& name);
    void announce_all();
    void update_reachability();
    void deliver_due();
    void tick_due();
    void schedule(core::time_ms at, const std::string& host,
                  std::function<dispatcher_message()> make);
    void carry_out(const std::string& host, dispatcher_effects effects);
    void send(const std::string& from, const outgoing_message& out);
    void run_task_at(const std::string& host, const start_order& order);
    [[nodiscard]] bool linked(const std::string& left, const std::string& right) const;
    [[nodiscard]] shard::times times() const;

    core::service_document document_;
    std::vector<std::string> names_;
    std::map<std::string, host_state> hosts_;
    std::map<std::string, target_state> targets_;
    std::map<std::pair<std::string, std::string>, bool> reachable_;
    std::map<std::pair<std::string, std::string>, core::time_ms> link_down_since_;
    std::multimap<core::time_ms, event> events_;
    std::vector<observed_start> starts_;
    std::vector<observed_call> calls_;
    core::time_ms now_{core::duration_ms{1'000'000}};
    core::time_ms next_announcement_{};
};

/// Violations of the invariants in a finished history: a task of a submission that started twice, a
/// call with no answer or several, an answer that is neither complete nor empty, results of another
/// task, and a refusal as not run of a submission of which a task has started.
[[nodiscard]] std::vector<std::string> violations(std::span<const observed_start> starts,
                                                  std::span<const observed_call> calls);

} // namespace hawthornstall::entry::testing
