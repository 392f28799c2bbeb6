#pragma once

/// Member functions of dispatch_host that serve the callers and the readiness check. Included by
/// dispatch_host.hpp only.

#include "hawthornstall/pipeline/pipe.hpp"
#include "hawthornstall/runs/dispatch_host.hpp"

#include <utility>

namespace hawthornstall::runs {
namespace detail {

constexpr int ready_status = 200;
constexpr int not_ready_status = 503;

/// Filter: decodes a request whose queue is known.
template <class Codec> struct decode_request {
    Codec* codec;
    absl::StatusOr<caller_request> operator()(const routed_request& call) const {
        return codec->decode_request(call);
    }
};

/// Filter: refuses invalid jobs.
struct check_request {
    absl::StatusOr<caller_request> operator()(caller_request request) const {
        if (const auto* const job = std::get_if<job_request>(&request)) {
            if (auto status = check_job(*job); !status.ok()) {
                return status;
            }
        }
        return request;
    }
};

} // namespace detail

template <dispatch_codec Codec>
void dispatch_host<Codec>::on_caller_request(const net::http_request& request) {
    traffic_.received_from_caller(request.body.size());
    const auto time = now();
    const auto arrived = early_requests_.take(request.number).value_or(time);
    if (routes_.version == 0 && early_requests_.keep(request.number, arrived, time)) {
        return;
    }
    auto read_request = pipeline::pipe(find_route{}, detail::decode_request<Codec>{&codec_},
                                       detail::check_request{});
    auto decoded = read_request(unrouted_request{&request, &routes_});
    if (!decoded.ok()) {
        report_({.level = core::log_level::warning,
                 .name = "request_refused",
                 .id = std::string{request.path},
                 .detail = core::describe(decoded.status())});
        send_answer(request.number, codec_.answer_to(decoded.status()));
        return;
    }
    std::visit(
        [&](auto& content) {
            serve({request.number, arrived, time}, std::move(content));
        },
        *decoded);
}

/// Handles requests again that have waited for the first configuration, because it has arrived or
/// their waiting time is over.
template <dispatch_codec Codec>
void dispatch_host<Codec>::retry_early_requests(core::time_ms arrived_by) {
    for (const auto number : early_requests_.arrived_by(arrived_by)) {
        if (!caller_server_->handle_again(number)) {
            (void)early_requests_.take(number);
            // The caller has left; answering makes the server release the request.
            (void)caller_server_->answer(number, {});
        }
    }
}

template <dispatch_codec Codec>
void dispatch_host<Codec>::serve(arrived_request request, job_request&& job) {
    const auto scheduler = logic_.hosts().scheduler();
    report_({.name = "job_submitted",
             .id = job.id,
             .peer = scheduler.value_or(std::string{}),
             .detail = "deadline " + std::to_string(job.terms.deadline.count()) + " ms, run time " +
                       std::to_string(critical_path_time(job).count()) + " ms, configuration " +
                       std::to_string(routes_.version)});
    logic_.open(request.number, std::move(job), request.read_at, request.handled_at);
    schedule_flush();
}

template <dispatch_codec Codec>
void dispatch_host<Codec>::serve(arrived_request request, const count_query& /*query*/) {
    // Callers wait for the result of their job, so there are no accepted jobs that wait to start.
    send_answer(request.number, codec_.answer_to(waiting_count{.jobs = 0}));
}

template <dispatch_codec Codec>
void dispatch_host<Codec>::serve(arrived_request request, const job_query& /*query*/) {
    send_answer(request.number, codec_.answer_to(unknown_job{}));
}

template <dispatch_codec Codec>
void dispatch_host<Codec>::serve(arrived_request request, const job_cancellation& cancellation) {
    logic_.cancel(request.number, cancellation.id, request.handled_at);
    schedule_flush();
}

template <dispatch_codec Codec>
void dispatch_host<Codec>::send_answer(std::uint64_t request, const caller_answer& answer) {
    traffic_.sent_to_caller(answer.body.size());
    // The status is ignored: a caller that has left needs no answer, and the server counts it.
    (void)caller_server_->answer(
        request, {.status = answer.status, .body = answer.body, .retry_after = answer.retry_after});
}

template <dispatch_codec Codec>
void dispatch_host<Codec>::answer_readiness(const net::http_request& request) {
    const bool is_ready = routes_.version > 0 && !logic_.hosts().self().leaving;
    (void)readiness_server_->answer(
        request.number,
        {.status = is_ready ? detail::ready_status : detail::not_ready_status, .body = "{}"});
}

template <dispatch_codec Codec> void dispatch_host<Codec>::answer_caller(const job_answer& answer) {
    const auto encoded = codec_.answer_to(answer);
    const bool is_success = answer.result == job_result::completed;
    report_({.level = is_success ? core::log_level::info : core::log_level::warning,
             .name = is_success ? "job_answered" : "job_answered_without_success",
             .id = answer.job,
             .detail = std::string{to_string(answer.result)} + ": " + answer.reason,
             .age = answer.age});
    send_answer(answer.request, encoded);
}

template <dispatch_codec Codec>
void dispatch_host<Codec>::answer_cancellation(const cancellation_answer& answer) {
    report_({.name = "job_cancellation_answered",
             .id = answer.job,
             .peer = answer.scheduler,
             .detail = std::string{to_string(answer.outcome)}});
    switch (answer.outcome) {
    case cancellation_outcome::cancelled:
        send_answer(answer.request, codec_.answer_to(cancelled_job{}));
        return;
    case cancellation_outcome::unknown_job:
        send_answer(answer.request, codec_.answer_to(unknown_job{}));
        return;
    case cancellation_outcome::undecided:
        break;
    }
    const auto error = core::make_error(absl::StatusCode::kUnavailable,
                                        {.step = "cancel_job", .peer = answer.scheduler},
                                        to_string(answer.outcome));
    send_answer(answer.request, codec_.answer_to(error));
}

} // namespace hawthornstall::runs
