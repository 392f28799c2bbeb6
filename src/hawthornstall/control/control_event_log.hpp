#pragma once

/// Event log of a control host.

#include "hawthornstall/control/control_logic.hpp"
#include "hawthornstall/control/gateway_event.hpp"
#include "hawthornstall/telemetry/event_metrics.hpp"
#include "hawthornstall/telemetry/logger.hpp"

#include <initializer_list>

namespace hawthornstall::control {

/// Logs and counts the events of control_logic and control_gateway.
class control_event_log {
public:
    /// `output` and `metrics` must outlive the log.
    control_event_log(telemetry::log_output& output, telemetry::event_metrics& metrics)
        : log_(output), metrics_(&metrics) {}

    void operator()(const control_event& event);
    void operator()(const gateway_event& event);

private:
    void write(const telemetry::log_event& event,
               std::initializer_list<telemetry::log_field> fields = {});

    telemetry::logger log_;
    telemetry::event_metrics* metrics_;
};

} // namespace hawthornstall::control
