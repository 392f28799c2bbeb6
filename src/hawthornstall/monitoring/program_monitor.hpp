#pragma once

/// Log output, metrics and monitoring server of one program.

#include "hawthornstall/monitoring/monitoring_server.hpp"
#include "hawthornstall/telemetry/event_metrics.hpp"
#include "hawthornstall/telemetry/log_output.hpp"
#include "hawthornstall/telemetry/logger.hpp"

#include <cstddef>
#include <functional>
#include <memory>
#include <ostream>
#include <string>
#include <string_view>
#include <utility>

namespace hawthornstall::monitoring {

/// Owns the log output and the metrics of a program and serves them. Must outlive the tasks that
/// report to it.
class program_monitor {
public:
    /// `role` labels the metrics, which are served at `metrics_address` unless that is empty.
    program_monitor(std::shared_ptr<std::ostream> stream, core::log_level level,
                    std::string_view role, const std::string& metrics_address)
        : output_(std::move(stream), level), log_(output_), metrics_(role),
          inbox_(runtime::make_mailbox<monitoring_server::message>(inbox_capacity)),
          server_(start_monitoring(metrics_address, inbox_, metrics_, output_)) {}

    [[nodiscard]] telemetry::log_output& output() noexcept { return output_; }

    /// Logger for the thread that created the monitor, and for no other.
    [[nodiscard]] telemetry::logger& log() noexcept { return log_; }

    /// Observer that records events in an event log of its own. Each task needs a separate one,
    /// because loggers are not synchronised.
    template <class EventLog, class Event>
    [[nodiscard]] std::function<void(const Event&)> observer() {
        return [events = std::make_shared<EventLog>(output_, metrics_)](const Event& event) {
            (*events)(event);
        };
    }

    /// From now on the task that owns `inbox` answers queries about the state of the process.
    template <class Message> void ask_for_state(const runtime::address<Message>& inbox) {
        (void)inbox_->post(status_source{[inbox](status::status_query query) {
            return inbox->post(std::move(query));
        }});
    }

private:
    static constexpr std::size_t inbox_capacity = 64;

    telemetry::log_output output_;
    telemetry::logger log_;
    telemetry::event_metrics metrics_;
    runtime::address<monitoring_server::message> inbox_;
    std::unique_ptr<monitoring_task> server_;
};

} // namespace hawthornstall::monitoring
