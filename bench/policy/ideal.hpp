#pragma once

/// The ideal response time of a job, which no dispatcher can beat; docs/benchmarks.md defines it
/// and says why it is a lower bound.

#include "policy/workload.hpp"

#include <span>
#include <vector>

namespace hawthornstall::policy_bench {

/// One-way delay of a message within a zone; a round trip takes less than 1 ms.
constexpr virtual_us hop_us = 250;

/// Computes lower bounds on response times with a given set of targets.
class ideal_bound {
public:
    explicit ideal_bound(std::span<const target_plan> targets);

    /// Bound in ms for a job whose tasks run for `work_ms` at speed 1.
    [[nodiscard]] double response_ms(std::span<const double> work_ms) const;

private:
    /// Element k is the sum of the speeds of the k + 1 fastest slots.
    std::vector<double> speed_sums_;
};

} // namespace hawthornstall::policy_bench
