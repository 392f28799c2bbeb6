#pragma once

/// How late the timer of an event loop fires: the time that a message waits for the loop.

#include "hawthornstall/core/ms_clock.hpp"

#include <cstdint>
#include <string>

namespace hawthornstall::runs {

/// Measures the delay of a periodic timer. A loop that has no processor time, or is busy, fires it
/// late.
class tick_delay {
public:
    explicit tick_delay(core::duration_ms interval) : interval_(interval) {}

    /// Records a tick. Returns how much longer than the interval the previous one is ago.
    core::duration_ms record(core::time_ms now);

    /// The delays since the last call, as text: "longest 34 ms, mean 3 ms of 200 ticks".
    [[nodiscard]] std::string take();

private:
    core::duration_ms interval_;
    core::time_ms last_tick_{};
    std::uint64_t ticks_ = 0;
    core::duration_ms sum_{};
    core::duration_ms longest_{};
};

} // namespace hawthornstall::runs
