#pragma once

/// Generated workloads for the policy benchmark.

#include "hawthornstall/core/ms_clock.hpp"

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace hawthornstall::policy_bench {

/// Virtual time in microseconds. Network hops are shorter than the product's clock tick of 1 ms.
using virtual_us = std::int64_t;

constexpr virtual_us us_per_ms = 1'000;

/// The targets of one zone.
enum class deployment : std::uint8_t {
    minions, ///< 50 targets x 8 slots, speeds 0.5 to 2.
    workers, ///< 50 targets x 60 cores, speeds 0.5 to 2, one core per task.
};

/// A disturbance that a workload may contain. Wrong declared run times apply to all jobs; the
/// others begin at the fault time.
enum class fault : std::uint8_t {
    burst,              ///< Five times the load for one second.
    cancellation_wave,  ///< 30 % of the open jobs are cancelled at once.
    failing_targets,    ///< 10 % of the targets fail every task immediately.
    stragglers,         ///< 5 % of the targets become ten times slower.
    declared_too_long,  ///< Declared run times are ten times the actual ones.
    declared_too_short, ///< Declared run times are a tenth of the actual ones.
    target_loss,        ///< 20 % of the targets stop replying.
    zone_loss,          ///< Callers of a lost third zone come here: half as much load again.
};

constexpr std::size_t fault_count = 8;

[[nodiscard]] std::string_view to_string(deployment size) noexcept;
[[nodiscard]] std::string_view to_string(fault kind) noexcept;

/// What to generate. The same parameters give the same workload on every machine.
struct workload_parameters {
    deployment size = deployment::minions;
    double load = 0.7; ///< Work that arrives per unit of time / total speed of all slots.
    std::vector<fault> faults;
    std::uint64_t seed = 1;
    core::duration_ms length{60'000}; ///< Time over which jobs arrive.
};

/// One target and its faults.
struct target_plan {
    double speed = 1.0;
    std::uint32_t slots = 0;
    bool fails = false;     ///< From the fault time on.
    bool straggles = false; ///< From the fault time on.
    bool lost = false;      ///< From the fault time on.
};

/// One job as its caller submits it.
struct job_plan {
    virtual_us arrival = 0;
    std::uint32_t team = 0;
    bool idempotent = false;
    bool single = false;                     ///< A single request; see scheduling::job_terms.
    bool in_cancellation_wave = false;       ///< Cancelled at the fault time if it is open then.
    std::vector<double> work_ms;             ///< Run time of each task at speed 1.
    std::vector<core::duration_ms> declared; ///< Declared run time of each task.
};

/// Everything that a run is given.
struct workload {
    workload_parameters parameters;
    std::vector<target_plan> targets;
    std::vector<job_plan> jobs; ///< In order of arrival.
    virtual_us fault_time = 0;
    core::duration_ms deadline{10'000}; ///< Of every job, from its arrival.

    [[nodiscard]] double total_speed() const;
    [[nodiscard]] std::uint64_t task_count() const;
    [[nodiscard]] bool has(fault kind) const;
};

/// Generates the workload that the parameters describe.
[[nodiscard]] workload make_workload(const workload_parameters& parameters);

/// Name for reports, for example "minions 70 % burst+stragglers".
[[nodiscard]] std::string name_of(const workload_parameters& parameters);

} // namespace hawthornstall::policy_bench
