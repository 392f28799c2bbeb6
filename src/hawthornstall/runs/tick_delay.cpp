#include "hawthornstall/runs/tick_delay.hpp"

#include <algorithm>
#include <utility>

namespace hawthornstall::runs {

core::duration_ms tick_delay::record(core::time_ms now) {
    const auto last = std::exchange(last_tick_, now);
    if (last == core::time_ms{}) {
        return core::duration_ms{0};
    }
    const auto delay = std::max(now - last - interval_, core::duration_ms{0});
    ++ticks_;
    sum_ += delay;
    longest_ = std::max(longest_, delay);
    return delay;
}

std::string tick_delay::take() {
    const auto count = static_cast<std::int64_t>(std::max<std::uint64_t>(ticks_, 1));
    auto text = "longest " + std::to_string(longest_.count()) + " ms, mean " +
                std::to_string(sum_.count() / count) + " ms of " + std::to_string(ticks_) +
                " ticks";
    ticks_ = 0;
    sum_ = {};
    longest_ = {};
    return text;
}

} // namespace hawthornstall::runs
