#include "hawthornstall/entry/target_logic.hpp"

#include <array>
#include <utility>

namespace hawthornstall::entry {

task_result to_task_result(const net::exchange_result& exchange) noexcept {
    constexpr int ok = 200;
    constexpr int service_unavailable = 503;
    switch (exchange.outcome) {
    case net::exchange_outcome::not_sent:
        return task_result::not_sent;
    case net::exchange_outcome::broken:
        return task_result::lost;
    case net::exchange_outcome::answered:
        break;
    }
    if (exchange.status == ok) {
        return task_result::answered;
    }
    return exchange.status == service_unavailable ? task_result::busy : task_result::failed;
}

void target_logic::attach(runtime::event_loop& loop) {
    client_ = std::make_unique<net::http_client>(loop, net::http_client_limits{});
}

void target_logic::handle(const start_order& order) {
    const auto attempt = std::to_string(order.task.attempt);
    const std::array headers{net::http_header{"X-Task-Id", order.task.task_id},
                             net::http_header{"X-Attempt", attempt}};
    const net::exchange_request request{.address = order.address,
                                        .path = "/v1/run",
                                        .headers = headers,
                                        .body = order.task.payload,
                                        .timeout = order.task.timeout,
                                        .idempotent = order.task.idempotent};
    const auto report = [this, service = order.service, run = order.task.run,
                         sent_bytes =
                             order.task.payload.size()](const net::exchange_result& exchange) {
        const auto result = to_task_result(exchange);
        count(result, sent_bytes, exchange.body.size());
        deliver_(
            {.service = service, .run = run, .result = result, .body = std::string{exchange.body}});
    };
    if (!client_->send(request, report).ok()) {
        deliver_({.service = order.service,
                  .run = order.task.run,
                  .result = task_result::not_sent,
                  .body = {}});
    }
}

void target_logic::count(task_result result, std::size_t sent_bytes, std::size_t answer_bytes) {
    using telemetry::waste_cause;
    if (result == task_result::not_sent) {
        return;
    }
    constexpr std::uint64_t request_and_answer = 2;
    metrics_->count_sent(telemetry::message_purpose::dispatch, request_and_answer,
                         sent_bytes + answer_bytes);
    if (result != task_result::answered) {
        metrics_->count_wasted(result == task_result::busy   ? waste_cause::rejected
                               : result == task_result::lost ? waste_cause::connection_lost
                                                             : waste_cause::failed_attempt,
                               request_and_answer);
    }
}

} // namespace hawthornstall::entry
