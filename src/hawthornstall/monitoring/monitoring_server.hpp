#pragma once

/// Loop task that serves the metrics and the state of a process over HTTP. It owns the listening
/// socket and queries the task that owns the state by messages.

#include "hawthornstall/net/http_server.hpp"
#include "hawthornstall/runtime/event_loop.hpp"
#include "hawthornstall/runtime/loop_task.hpp"
#include "hawthornstall/runtime/mailbox.hpp"
#include "hawthornstall/status/status_query.hpp"
#include "hawthornstall/telemetry/event_metrics.hpp"
#include "hawthornstall/telemetry/log_output.hpp"
#include "hawthornstall/telemetry/logger.hpp"

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <variant>

namespace hawthornstall::monitoring {

/// Path of the metrics.
constexpr std::string_view metrics_path = "/metrics";

/// Forwards a query to the task that owns the state; returns false when that task is overloaded.
using status_source = std::function<bool(status::status_query)>;

/// Logic of the monitoring task. It answers GET requests for the metrics itself and forwards those
/// for the state to the status_source that it has received; without one they are refused.
class monitoring_server {
public:
    using message = std::variant<status_source, status::status_answer>;

    /// `address` is "ip:port"; `self` is this task's mailbox; `metrics` and `output` must outlive
    /// the task.
    monitoring_server(std::string address, const runtime::address<message>& self,
                      telemetry::event_metrics* metrics, telemetry::log_output* output)
        : address_(std::move(address)), self_(self), metrics_(metrics), output_(output),
          log_(*output) {}

    /// Starts to listen. A failure is logged, and the process continues without metrics.
    void attach(runtime::event_loop& loop);
    void handle(message input);

    /// Address listened on; empty when there is none.
    [[nodiscard]] std::string_view address() const {
        return server_ ? server_->address() : std::string_view{};
    }

private:
    void answer(const net::http_request& request);
    void answer_metrics(std::uint64_t number);
    void query_state(std::uint64_t number, status::status_kind kind);
    void process(status_source&& source) { source_ = std::move(source); }
    void process(const status::status_answer& answer);
    void send(std::uint64_t number, int status, std::string_view type, std::string_view body);

    std::string address_;
    std::weak_ptr<runtime::mailbox<message>> self_;
    status_source source_;
    telemetry::event_metrics* metrics_;
    telemetry::log_output* output_;
    telemetry::logger log_;
    std::unique_ptr<net::http_server> server_;
};

/// Task that runs a monitoring_server.
using monitoring_task = runtime::loop_task<monitoring_server>;

/// Starts a task that serves `metrics` at `address`; null when `address` is empty.
[[nodiscard]] std::unique_ptr<monitoring_task>
start_monitoring(const std::string& address,
                 const runtime::address<monitoring_server::message>& inbox,
                 telemetry::event_metrics& metrics, telemetry::log_output& output);

} // namespace hawthornstall::monitoring
