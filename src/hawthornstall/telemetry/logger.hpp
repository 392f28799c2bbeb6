#pragma once

/// Logging interface of the loop tasks.

#include "hawthornstall/core/ms_clock.hpp"
#include "hawthornstall/telemetry/json_line.hpp"
#include "hawthornstall/telemetry/log_event.hpp"
#include "hawthornstall/telemetry/log_limiter.hpp"
#include "hawthornstall/telemetry/log_output.hpp"

#include <array>
#include <concepts>
#include <initializer_list>
#include <string_view>

namespace hawthornstall::telemetry {

/// Destination of the lines of a logger.
template <class Output>
concept line_output = requires(Output output, core::log_level level, std::string_view line) {
    { output.level() } -> std::convertible_to<core::log_level>;
    output.write(level, line);
};

/// Source of steady time for the rate limit and of wall-clock time for the records.
template <class Clock>
concept log_clock = requires {
    { Clock::now() } -> std::same_as<core::time_ms>;
    { Clock::wall_now() } -> std::same_as<core::time_ms>;
};

/// Formats and limits records. Each loop task owns one; the output, which must outlive it, is
/// shared.
template <line_output Output, log_clock Clock> class basic_logger {
public:
    explicit basic_logger(Output& output) : output_(&output) {}

    /// Whether records of `level` are written.
    [[nodiscard]] bool enabled(core::log_level level) const { return level >= output_->level(); }

    /// Writes `event` unless its level is disabled or the rate limit of its name is reached.
    void write(const log_event& event) {
        if (!enabled(event.level)) {
            return;
        }
        if (const auto dropped = limiter_.admit(event.name, Clock::now())) {
            output_->write(event.level, to_json_line(event, Clock::wall_now(), *dropped));
        }
    }

    /// Writes `event` with `fields` in place of its own fields.
    void write(log_event event, std::initializer_list<log_field> fields) {
        event.fields = {fields.begin(), fields.size()};
        write(event);
    }

    /// Writes the counts of dropped records whose event has not occurred since. To be called by a
    /// timer about once a second.
    void report_dropped() {
        for (const auto& [event, count] : limiter_.take_dropped(Clock::now())) {
            const std::array fields{log_field{"dropped_event", std::string_view{event}}};
            const log_event report{
                .level = core::log_level::warning, .name = "log_records_dropped", .fields = fields};
            output_->write(report.level, to_json_line(report, Clock::wall_now(), count));
        }
    }

private:
    Output* output_;
    log_limiter limiter_;
};

/// Logger of the daemons.
using logger = basic_logger<log_output, core::ms_clock>;

} // namespace hawthornstall::telemetry
