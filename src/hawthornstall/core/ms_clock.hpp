#pragma once

/// Clock, time point and duration in milliseconds.

#include <chrono>
#include <cstdint>

namespace hawthornstall::core {

/// Clock with millisecond resolution for std::chrono. Code that makes decisions takes the time as
/// an argument and never reads the clock, so that tests can control the time.
struct ms_clock {
    using rep = std::int64_t;
    using period = std::milli;
    using duration = std::chrono::duration<rep, period>;
    using time_point = std::chrono::time_point<ms_clock>;
    static constexpr bool is_steady = true;

    /// Monotonic time since an unspecified start. Comparable within one process only. Counts the
    /// time for which the machine was suspended, as the clocks of other hosts do: a holder that
    /// did not would take a host that ended meanwhile for alive, and extend leases too far.
    [[nodiscard]] static time_point now() noexcept;

    /// Time since the Unix epoch. Comparable between hosts up to their clock skew.
    [[nodiscard]] static time_point wall_now() noexcept;
};

using duration_ms = ms_clock::duration;
using time_ms = ms_clock::time_point;

/// Converts a time point to milliseconds since the epoch of its clock, for messages and logs.
[[nodiscard]] constexpr std::int64_t to_count(time_ms time) noexcept {
    return time.time_since_epoch().count();
}

/// Converts milliseconds since the epoch of a clock to a time point; the inverse of to_count().
[[nodiscard]] constexpr time_ms from_count(std::int64_t count) noexcept {
    return time_ms{duration_ms{count}};
}

} // namespace hawthornstall::core
