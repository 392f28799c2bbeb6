#include "policy/ideal.hpp"

#include <algorithm>
#include <functional>
#include <numeric>

namespace hawthornstall::policy_bench {

ideal_bound::ideal_bound(std::span<const target_plan> targets) {
    for (const auto& target : targets) {
        speed_sums_.insert(speed_sums_.end(), target.slots, target.speed);
    }
    std::sort(speed_sums_.begin(), speed_sums_.end(), std::greater<>{});
    std::partial_sum(speed_sums_.begin(), speed_sums_.end(), speed_sums_.begin());
}

double ideal_bound::response_ms(std::span<const double> work_ms) const {
    std::vector<double> work{work_ms.begin(), work_ms.end()};
    std::sort(work.begin(), work.end(), std::greater<>{});
    double bound = 0.0;
    double sum = 0.0;
    for (std::size_t index = 0; index < work.size(); ++index) {
        sum += work[index];
        const auto slots = std::min(index, speed_sums_.size() - 1);
        bound = std::max(bound, sum / speed_sums_[slots]);
    }
    constexpr double hops = 2.0;
    return bound + hops * hop_us / us_per_ms;
}

} // namespace hawthornstall::policy_bench
