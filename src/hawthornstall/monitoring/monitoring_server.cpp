#include "hawthornstall/monitoring/monitoring_server.hpp"

#include "hawthornstall/core/error.hpp"
#include "hawthornstall/status/status_body.hpp"

#include <utility>

namespace hawthornstall::monitoring {
namespace detail {

constexpr int http_ok = 200;
constexpr int http_not_found = 404;
constexpr int http_method_not_allowed = 405;
constexpr int http_service_unavailable = 503;

constexpr std::string_view plain_text = "text/plain";

/// Requests have no body, and only a few are open at a time. Answers have some ten KB, those with
/// all targets of a large deployment some hundred.
constexpr net::http_server_limits limits{
    .max_body_bytes = 1024,
    .max_open_requests = 16,
    .connections = {.max_bytes = std::size_t{4} * 1024 * 1024, .max_connections = 32}};

} // namespace detail

void monitoring_server::attach(runtime::event_loop& loop) {
    server_ = std::make_unique<net::http_server>(
        loop, address_, detail::limits,
        [this](const net::http_request& request) { answer(request); });
    if (const auto status = server_->start(); !status.ok()) {
        const auto error = core::describe(status);
        log_.write({.level = core::log_level::error, .name = "metrics_not_served"},
                   {{"error", std::string_view{error}}});
        server_.reset();
    }
}

void monitoring_server::handle(message input) {
    std::visit([this](auto& content) { process(std::move(content)); }, input);
}

void monitoring_server::answer(const net::http_request& request) {
    const auto kind = status::kind_of(request.path);
    if (request.path != metrics_path && !kind) {
        send(request.number, detail::http_not_found, detail::plain_text,
             "metrics are at /metrics, the state at /v1/hosts, /v1/targets, /v1/rollout, "
             "/v1/jobs and /v1/zones\n");
    } else if (request.method != "GET") {
        send(request.number, detail::http_method_not_allowed, detail::plain_text, "use GET\n");
    } else if (kind) {
        query_state(request.number, *kind);
    } else {
        answer_metrics(request.number);
    }
}

void monitoring_server::answer_metrics(std::uint64_t number) {
    metrics_->set_dropped_log_lines(output_->overflow_count());
    send(number, detail::http_ok, "text/plain; version=0.0.4", metrics_->render());
}

void monitoring_server::query_state(std::uint64_t number, status::status_kind kind) {
    const auto reply = [self = self_](status::status_answer answer) {
        if (const auto inbox = self.lock()) {
            // If the mailbox is full, the answer is dropped and the request stays open until the
            // client gives up.
            (void)inbox->post(std::move(answer));
        }
    };
    if (!source_ || !source_({.number = number, .kind = kind, .reply = reply})) {
        send(number, detail::http_service_unavailable, detail::plain_text,
             "the state cannot be queried now: no task provides it, or that task is overloaded\n");
    }
}

void monitoring_server::process(const status::status_answer& answer) {
    send(answer.number, detail::http_ok, "application/json", status::encode_rows(answer.rows));
}

void monitoring_server::send(std::uint64_t number, int status, std::string_view type,
                             std::string_view body) {
    // The result is ignored: a client that has disconnected needs no answer.
    (void)server_->answer(number, {.status = status, .content_type = type, .body = body});
}

std::unique_ptr<monitoring_task>
start_monitoring(const std::string& address,
                 const runtime::address<monitoring_server::message>& inbox,
                 telemetry::event_metrics& metrics, telemetry::log_output& output) {
    if (address.empty()) {
        return nullptr;
    }
    return std::make_unique<monitoring_task>(inbox, address, inbox, &metrics, &output);
}

} // namespace hawthornstall::monitoring
