#include "policy/run_result.hpp"

#include <algorithm>
#include <numeric>

namespace hawthornstall::policy_bench {

distribution summarise(std::vector<double> sample) {
    if (sample.empty()) {
        return {};
    }
    std::sort(sample.begin(), sample.end());
    const auto count = static_cast<double>(sample.size());
    const auto quantile = [&](double share) {
        const auto index = static_cast<std::size_t>(share * count);
        return sample[std::min(index, sample.size() - 1)];
    };
    return {std::accumulate(sample.begin(), sample.end(), 0.0) / count, quantile(0.5),
            quantile(0.99)};
}

} // namespace hawthornstall::policy_bench
