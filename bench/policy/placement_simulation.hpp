#pragma once

/// A discrete-event simulation of runs::job_scheduler with one placement policy. The scheduler is
/// the real code; front ends, lease holders and targets around it are simulated.

#include "hawthornstall/runs/reservations.hpp"
#include "policy/placement_record.hpp"
#include "policy/placement_workload.hpp"

namespace hawthornstall::policy_bench {

/// Runs the workload on a virtual clock.
[[nodiscard]] placement_result simulate_placement(const placement_workload& plan,
                                                  runs::placement_policy policy);

} // namespace hawthornstall::policy_bench
