#pragma once

/// Rate limit for the log records of each event, so that a failure that repeats thousands of times
/// a second does not take up the disk and the processor.

#include "hawthornstall/core/ms_clock.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace hawthornstall::telemetry {

/// Records of one event that were not written.
struct dropped_records {
    std::string event;
    std::uint64_t count = 0;

    bool operator==(const dropped_records&) const = default;
};

/// Counts the records of each event in time windows of fixed length. Not synchronised: each logger
/// owns one.
class log_limiter {
public:
    /// Maximum number of records written per event and window.
    static constexpr std::uint32_t max_records_per_window = 20;
    static constexpr core::duration_ms window{1000};
    /// Events beyond this number share one count under the name "other". Event names are constants
    /// of the program, so the bound is reached only by a programming error.
    static constexpr std::size_t max_events = 256;

    /// Number of earlier records of `event` that were dropped and not yet reported, when a record
    /// at `now` may be written; empty when it must be dropped.
    [[nodiscard]] std::optional<std::uint64_t> admit(std::string_view event, core::time_ms now);

    /// Returns and resets the drop counts of events whose window has ended, so that drops are
    /// reported even if no further record of the event follows.
    [[nodiscard]] std::vector<dropped_records> take_dropped(core::time_ms now);

private:
    /// Records of one event in its current window, and drops that are not yet reported.
    struct event_counts {
        core::time_ms window_start{};
        std::uint32_t written = 0;
        std::uint64_t dropped = 0;
    };

    /// Counts of `event`, or the shared ones when max_events is reached.
    [[nodiscard]] event_counts& counts_of(std::string_view event);

    std::map<std::string, event_counts, std::less<>> events_;
};

} // namespace hawthornstall::telemetry
