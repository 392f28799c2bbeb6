#pragma once

/// Log and metrics of one program.

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

/// Must outlive the tasks that report to it.
class program_monitor {
public:
    /// `role` labels the metrics, which are served at `metrics_address` unless that is empty.
    program_monitor(std::shared_ptr<std::ostream> stream, core::log_level level,
                    std::string_view role, const std::string& metrics_address)
        : output_(std::move(stream), level), log_(output_), metrics_(role),
          inbox_(runtime::make_mailbox<monitoring_server::message>(inbox_capacity)),
          server_(start_monitoring(metrics_address, inbox_, metrics_, output_)) {}

    [[nodiscard]] telemetry::log_output& output() noexcept { return output_; }

    /// Belongs to the thread that made the monitor.
    [[nodiscard]] telemetry::logger& log() noexcept { return log_; }

    /// Observer with an event log of its own: loggers are not synchronised, so tasks share none.
    template <class EventLog, class Event>
    [[nodiscard]] std::function<void(const Event&)> observer() {
        return [events = std::make_shared<EventLog>(output_, metrics_)](const Event& event) {
            (*events)(event);
        };
    }

    /// The task behind `inbox` answers questions about the state of the process from now on.
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
