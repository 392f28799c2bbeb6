#pragma once

/// Log records and metrics for the events of a dispatch host.

#include "hawthornstall/runs/dispatch_event.hpp"
#include "hawthornstall/telemetry/event_metrics.hpp"
#include "hawthornstall/telemetry/logger.hpp"

namespace hawthornstall::runs {

/// Writes each event of a dispatch host to the log and counts it in the metrics.
class dispatch_event_log {
public:
    /// `output` and `metrics` must outlive the log.
    dispatch_event_log(telemetry::log_output& output, telemetry::event_metrics& metrics)
        : log_(output), metrics_(&metrics) {}

    /// Logs and counts one event.
    void operator()(const dispatch_event& event);

private:
    telemetry::logger log_;
    telemetry::event_metrics* metrics_;
};

} // namespace hawthornstall::runs
