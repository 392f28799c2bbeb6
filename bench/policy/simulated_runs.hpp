#pragma once

/// The targets of the placement simulation with the runs on them.

#include "hawthornstall/runs/run_messages.hpp"
#include "policy/placement_record.hpp"
#include "policy/placement_workload.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace hawthornstall::policy_bench {

/// Name of a host and of a target in messages.
[[nodiscard]] std::string placement_host_name(std::size_t host);
[[nodiscard]] std::string placement_target_name(std::size_t target);

/// A run that arrives at its target.
struct simulated_start {
    std::uint64_t key = 0;
    std::size_t target = 0;
    std::int64_t cpu_millis = 0;
    core::duration_ms work{}; ///< Run time at speed 1.
};

/// Starts, ends and loses the runs of all targets as their lease holders report it. A target that
/// is lost is silent at first; its holder reports the loss of the target and of its runs once
/// their lease has ended. Times are relative to the first possible arrival.
class simulated_runs {
public:
    simulated_runs(const placement_workload& plan, placement_record& record);

    /// Whether the holder of the target starts runs there.
    [[nodiscard]] bool accepts(std::size_t target) const { return targets_.at(target).is_usable; }

    /// Starts a run. Returns when it ends; empty if the target is lost.
    std::optional<core::duration_ms> start(const simulated_start& run, core::duration_ms now);

    /// Ends a run. Returns its end for the scheduler; empty if it has ended already or its target
    /// is lost.
    std::optional<runs::run_ended> end(std::uint64_t key, runs::run_end how, core::duration_ms now);

    /// The targets of the loss become silent.
    void lose_targets(core::duration_ms now);

    /// The holders report the loss. Returns the ends of the lost runs.
    std::vector<runs::run_ended> detect_loss(core::duration_ms now);

    /// The lost targets have restarted.
    void return_targets();

    /// Report of a holder about its targets.
    [[nodiscard]] runs::target_report report(std::size_t host) const;

private:
    struct target_state {
        std::int64_t used_cpu_millis = 0;
        bool is_silent = false;
        bool is_usable = true; ///< In the view of the holder.
        std::uint64_t incarnation = 1;
    };

    struct run_state {
        simulated_start start;
        core::duration_ms started{};
    };

    const placement_workload& plan_;
    placement_record& record_;
    std::vector<target_state> targets_;
    std::map<std::uint64_t, run_state> runs_; ///< By key.
};

} // namespace hawthornstall::policy_bench
