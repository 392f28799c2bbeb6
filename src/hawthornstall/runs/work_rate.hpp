#pragma once

/// Rate at which work arrives, as an exponentially weighted moving average.

#include "hawthornstall/core/ms_clock.hpp"

#include <cmath>
#include <cstdint>

namespace hawthornstall::runs {

/// Moving average of the arrival rate. Work is given in thousandths of a core times ms, so the rate
/// is in thousandths of a core.
class work_rate {
public:
    /// Time constant of the decay: after this time an arrival has lost 63 % of its weight.
    static constexpr core::duration_ms averaging_time{1'000};

    /// Adds work that arrived at `now`.
    void add(std::int64_t work, core::time_ms now) {
        sum_ = sum_at(now) + static_cast<double>(work);
        updated_ = now;
    }

    /// Rate as of `now`, in thousandths of a core.
    [[nodiscard]] double cpu_millis(core::time_ms now) const {
        return sum_at(now) / static_cast<double>(averaging_time.count());
    }

private:
    [[nodiscard]] double sum_at(core::time_ms now) const {
        const auto age = static_cast<double>((now - updated_).count());
        return sum_ * std::exp(-age / static_cast<double>(averaging_time.count()));
    }

    double sum_ = 0.0;
    core::time_ms updated_{};
};

} // namespace hawthornstall::runs
