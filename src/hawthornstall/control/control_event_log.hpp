#pragma once

/// Log of what happens on a control host.

#include "hawthornstall/control/control_logic.hpp"
#include "hawthornstall/telemetry/logger.hpp"

#include <atomic>

namespace hawthornstall::control {

/// Writes the events of the loop task; a failure of the storage also ends the process.
class control_event_log {
public:
    explicit control_event_log(telemetry::log_output& output) : log_(output) {}

    void operator()(const control_event& event);

    /// Whether the storage has failed.
    [[nodiscard]] bool failed() const noexcept { return failed_; }

private:
    telemetry::logger log_;
    std::atomic<bool> failed_ = false;
};

} // namespace hawthornstall::control
