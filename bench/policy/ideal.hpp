#pragma once

/// The ideal response time of a job; docs/benchmarks.md defines it and says why it is a bound.

#include "policy/workload.hpp"

#include <span>
#include <vector>

namespace hawthornstall::policy_bench {

/// One-way delay of a message within a zone: a round trip costs under 1 ms.
constexpr virtual_us hop_us = 250;

/// Lower bounds on response times with a given set of targets.
class ideal_bound {
public:
    explicit ideal_bound(std::span<const target_plan> targets);

    /// Bound in ms for a job whose tasks run for `work_ms` at speed 1.
    [[nodiscard]] double response_ms(std::span<const double> work_ms) const;

private:
    std::vector<double> speed_sums_; ///< Speed of the k + 1 fastest slots together.
};

} // namespace hawthornstall::policy_bench
