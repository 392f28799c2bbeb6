#pragma once

/// Counters and time histograms of named events, rendered in the Prometheus text format.

#include "hawthornstall/core/ms_clock.hpp"
#include "hawthornstall/core/traffic.hpp"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace hawthornstall::telemetry {

/// Metrics registry of one process. All members are safe from any thread. Event names become
/// labels, so they must be constants of the program.
class event_metrics {
public:
    /// `role` labels every series, for example "entry".
    explicit event_metrics(std::string_view role);
    ~event_metrics();
    event_metrics(const event_metrics&) = delete;
    event_metrics& operator=(const event_metrics&) = delete;
    event_metrics(event_metrics&&) = delete;
    event_metrics& operator=(event_metrics&&) = delete;

    /// Counts one event and adds `time`, if any, to the histogram of the event.
    void observe(std::string_view event, std::optional<core::duration_ms> time = std::nullopt);

    /// Sets the counters of one kind of message to its counts since the start of the process.
    void set_traffic(const core::traffic_row& row);

    /// Sets the number of lines that the log output has dropped since the start of the process. To
    /// be called before each render().
    void set_dropped_log_lines(std::uint64_t lines);

    /// All metrics in the Prometheus text format, version 0.0.4.
    [[nodiscard]] std::string render() const;

private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace hawthornstall::telemetry
