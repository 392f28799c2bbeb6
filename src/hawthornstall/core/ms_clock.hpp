#pragma once

/// The project's clock: millisecond resolution, usable with std::chrono.

#include <chrono>
#include <cstdint>

namespace hawthornstall::core {

/// Monotonic clock in milliseconds. Decision code never calls it; it takes the time as an argument.
struct ms_clock {
    using rep = std::int64_t;
    using period = std::milli;
    using duration = std::chrono::duration<rep, period>;
    using time_point = std::chrono::time_point<ms_clock>;
    static constexpr bool is_steady = true;

    /// Monotonic time since an unspecified start; comparable within one process only.
    [[nodiscard]] static time_point now() noexcept;

    /// Milliseconds since the Unix epoch; comparable between hosts up to their clock skew.
    [[nodiscard]] static time_point wall_now() noexcept;
};

using duration_ms = ms_clock::duration;
using time_ms = ms_clock::time_point;

/// Milliseconds of a time point as a plain number, for messages and logs.
[[nodiscard]] constexpr std::int64_t to_count(time_ms time) noexcept {
    return time.time_since_epoch().count();
}

/// Time point from a plain number of milliseconds.
[[nodiscard]] constexpr time_ms from_count(std::int64_t count) noexcept {
    return time_ms{duration_ms{count}};
}

} // namespace hawthornstall::core
