#include "hawthornstall/runs/wait_forecast.hpp"

#include <algorithm>
#include <bit>
#include <cmath>
#include <cstdint>

namespace hawthornstall::runs {
namespace detail {

/// Steps of the iteration. The wait converges from below, and a shorter one than the limit is
/// accurate to a few per cent after this many steps at 90 % load.
constexpr int max_steps = 32;

/// The iteration ends when the wait changes by less than this, in ms.
constexpr double accepted_change_ms = 1.0;

int class_of(core::duration_ms objective) {
    const auto milliseconds = std::max<std::int64_t>(objective.count(), 1);
    return static_cast<int>(std::bit_width(static_cast<std::uint64_t>(milliseconds)));
}

/// The geometric mean of the objectives in a class.
core::duration_ms objective_of(int objective_class) {
    return core::duration_ms{static_cast<core::duration_ms::rep>(std::exp2(objective_class - 0.5))};
}

} // namespace detail

core::duration_ms forecast_wait(const wait_question& question,
                                std::span<const arriving_work> arrivals) {
    const auto longest = static_cast<double>(question.longest.count());
    if (question.cpu_millis < 1.0) {
        return question.longest;
    }
    double wait = 0.0;
    for (int step = 0; step < detail::max_steps; ++step) {
        auto work = static_cast<double>(question.work_ahead);
        for (const auto& arriving : arrivals) {
            // A job that arrives later than this is due after the one that waits.
            const auto overtaking_time = question.time_until_due - arriving.objective;
            work += arriving.cpu_millis *
                    std::clamp(static_cast<double>(overtaking_time.count()), 0.0, wait);
        }
        const auto next = work / question.cpu_millis;
        if (next >= longest) {
            return question.longest;
        }
        if (next - wait < detail::accepted_change_ms) {
            wait = next;
            break;
        }
        wait = next;
    }
    return core::duration_ms{static_cast<core::duration_ms::rep>(wait)};
}

void arrival_mix::add(core::duration_ms objective, std::int64_t work, core::time_ms now) {
    rates_[detail::class_of(objective)].add(work, now);
}

std::vector<arriving_work> arrival_mix::rates(core::time_ms now) const {
    std::vector<arriving_work> found;
    for (const auto& [objective_class, rate] : rates_) {
        found.push_back({.objective = detail::objective_of(objective_class),
                         .cpu_millis = rate.cpu_millis(now)});
    }
    return found;
}

} // namespace hawthornstall::runs
