#pragma once

/// Bounds the number of log records of each event, so that a failure that repeats thousands of
/// times a second costs neither the disk nor the processor.

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

/// Counts records per event in windows. Not synchronised: each logger owns one.
class log_limiter {
public:
    /// Records written per event and window.
    static constexpr std::uint32_t burst = 20;
    static constexpr core::duration_ms window{1000};
    /// Events beyond this number share one count. Event names are constants of the program, so the
    /// bound is reached only by a programming error.
    static constexpr std::size_t max_events = 256;

    /// Number of earlier records of `event` that were dropped and not yet reported, when a record
    /// at `now` may be written; empty when it must be dropped.
    [[nodiscard]] std::optional<std::uint64_t> admit(std::string_view event, core::time_ms now);

    /// Takes the counts of events whose window is over, for a report when no further record of the
    /// event follows.
    [[nodiscard]] std::vector<dropped_records> take_dropped(core::time_ms now);

private:
    struct usage {
        core::time_ms window_start{};
        std::uint32_t written = 0;
        std::uint64_t dropped = 0;
    };

    [[nodiscard]] usage& usage_of(std::string_view event);

    std::map<std::string, usage, std::less<>> events_;
};

} // namespace hawthornstall::telemetry
