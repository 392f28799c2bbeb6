#include "hawthornstall/runs/retry_schedule.hpp"

#include <algorithm>

namespace hawthornstall::runs {

core::duration_ms retry_schedule::invite(std::int64_t work, const free_capacity& capacity,
                                         core::time_ms now) {
    constexpr std::int64_t ms_per_second = 1'000;
    const auto present = core::to_count(now) / ms_per_second;
    invited_.erase(invited_.begin(), invited_.upper_bound(present));
    const auto last = present + longest.count() / ms_per_second;
    const auto per_second =
        static_cast<std::int64_t>(std::max(capacity.cpu_millis, 0.0)) * ms_per_second;
    // What is pending uses up the first seconds.
    auto busy = capacity.pending_work;
    const auto first = present + shortest.count() / ms_per_second;
    auto chosen = first;
    for (auto second = first; second <= last; ++second) {
        const auto used = std::min(busy, per_second);
        busy -= used;
        if (invited_[second] + work <= per_second - used) {
            chosen = second;
            break;
        }
        // Without a free second the callers are spread evenly.
        chosen = invited_[second] < invited_[chosen] ? second : chosen;
    }
    invited_[chosen] += work;
    return core::duration_ms{(chosen - present) * ms_per_second};
}

} // namespace hawthornstall::runs
