#pragma once

/// Generated workloads for the comparison of placement policies, as section 2 of
/// docs/design/load-and-limits.md describes the deployment D1, with fewer targets.

#include "hawthornstall/core/ms_clock.hpp"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace hawthornstall::policy_bench {

constexpr std::size_t placement_queue_count = 3;

/// Entry hosts. Each is the front end of some jobs and holds some targets: about 12 of 60, as in
/// the deployment.
constexpr std::size_t placement_host_count = 5;

/// What to generate. The same parameters give the same workload on every machine.
struct placement_parameters {
    std::int64_t load_percent = 90; ///< Arriving work / what all targets can do.
    bool loses_targets = false;     ///< A third of the targets is lost for 5 s.
    std::uint64_t seed = 1;
    core::duration_ms length{60'000}; ///< Time over which jobs arrive.
};

/// One target.
struct placement_target {
    std::int64_t cpu_millis = 0;    ///< Thousandths of a core.
    std::int64_t speed_percent = 0; ///< Work in ms that is done in 100 ms.
    bool is_lost = false;           ///< During the loss.
};

/// One job as its caller submits it. All its tasks have the same resource request.
struct placement_job {
    core::duration_ms arrival{}; ///< Since the first possible arrival.
    std::size_t queue = 0;
    std::size_t front_end = 0;
    std::int64_t cpu_millis = 0;         ///< Of each task.
    core::duration_ms declared{};        ///< Declared run time of each task.
    std::vector<core::duration_ms> work; ///< Run time of each task at speed 1.
};

/// Everything that a run is given. Times are relative to the first possible arrival.
struct placement_workload {
    placement_parameters parameters;
    std::vector<placement_target> targets;
    std::vector<placement_job> jobs; ///< In order of arrival.
    core::duration_ms lost_at{};
    core::duration_ms returned_at{};
    /// Only jobs that arrive within this time count in the figures.
    core::duration_ms measured_from{};
    core::duration_ms measured_until{};

    [[nodiscard]] bool is_measured(const placement_job& job) const {
        return job.arrival >= measured_from && job.arrival < measured_until;
    }

    /// Resource request that a tenth of the tasks of the measured jobs reach, in thousandths of a
    /// core.
    [[nodiscard]] std::int64_t large_cpu_millis() const;
};

/// Generates the workload that the parameters describe.
[[nodiscard]] placement_workload make_placement_workload(const placement_parameters& parameters);

/// Name of a queue in reports, for example "8 x 60 ms".
[[nodiscard]] std::string_view placement_queue_name(std::size_t queue);

/// Name for reports, for example "90 % loss".
[[nodiscard]] std::string name_of(const placement_parameters& parameters);

} // namespace hawthornstall::policy_bench
