#include "hawthornstall/entry/front_logic.hpp"

#include "hawthornstall/core/error.hpp"
#include "hawthornstall/http/admin_body.hpp"
#include "hawthornstall/http/error_body.hpp"
#include "hawthornstall/http/job_body.hpp"
#include "hawthornstall/http/target_body.hpp"
#include "hawthornstall/settings/service_document_json.hpp"

#include <stdexcept>
#include <utility>

namespace hawthornstall::entry {
namespace detail {

/// A service document may allow payloads of this size.
constexpr std::size_t max_body_bytes = std::size_t{64} * 1024 * 1024;

constexpr net::http_server_limits caller_limits{.max_body_bytes = max_body_bytes,
                                                .connections = {.max_bytes = 4 * max_body_bytes}};

constexpr std::string_view services_prefix = "/v1/services/";
constexpr std::string_view documents_prefix = "/v1/documents/";
constexpr std::string_view jobs_suffix = "/jobs";
constexpr std::string_view requests_suffix = "/requests";

/// Text between `prefix` and `suffix`; empty when `path` does not begin and end with them.
std::string_view between(std::string_view path, std::string_view prefix, std::string_view suffix) {
    if (path.size() <= prefix.size() + suffix.size() || !path.starts_with(prefix) ||
        !path.ends_with(suffix)) {
        return {};
    }
    path.remove_prefix(prefix.size());
    path.remove_suffix(suffix.size());
    return path;
}

absl::Status no_such_endpoint(const net::http_request& request) {
    return core::make_error(absl::StatusCode::kNotFound, {.step = "route_request", .peer = {}},
                            "no endpoint " + std::string{request.method} + ' ' +
                                std::string{request.path});
}

absl::Status overloaded() {
    return core::make_error(absl::StatusCode::kUnavailable, {.step = "dispatch", .peer = {}},
                            "this entry host is overloaded; nothing ran");
}

std::string_view result_name(control::edit_result result) {
    switch (result) {
    case control::edit_result::accepted:
        return "accepted";
    case control::edit_result::version_conflict:
        return "version_conflict";
    case control::edit_result::not_owner:
        return "not_owner";
    case control::edit_result::id_reused:
        return "id_reused";
    case control::edit_result::invalid:
        return "invalid";
    case control::edit_result::store_full:
        return "store_full";
    }
    return "unknown";
}

int edit_status(control::edit_result result) {
    constexpr int ok = 200;
    constexpr int bad_request = 400;
    constexpr int forbidden = 403;
    constexpr int conflict = 409;
    constexpr int insufficient_storage = 507;
    switch (result) {
    case control::edit_result::accepted:
        return ok;
    case control::edit_result::version_conflict:
    case control::edit_result::id_reused:
        return conflict;
    case control::edit_result::not_owner:
        return forbidden;
    case control::edit_result::invalid:
        return bad_request;
    case control::edit_result::store_full:
        return insufficient_storage;
    }
    return bad_request;
}

} // namespace detail

front_logic::front_logic(front_options options, dispatcher_sender to_dispatcher,
                         telemetry::entry_metrics* metrics, std::function<void()> on_idle)
    : options_(std::move(options)), to_dispatcher_(std::move(to_dispatcher)), metrics_(metrics),
      on_idle_(std::move(on_idle)), pipeline_(authenticate{options_.credentials}, decode_call{},
                                              resolve_service{&documents_}, check_limits{}),
      edit_pipeline_(authorize_edit{options_.credentials}, decode_edit{options_.host}) {}

void front_logic::attach(runtime::event_loop& loop) {
    server_ = std::make_unique<net::http_server>(
        loop, options_.address, detail::caller_limits,
        [this](const net::http_request& request) { receive(request); });
    if (const auto status = server_->start(); !status.ok()) {
        throw std::runtime_error{core::describe(status)};
    }
}

void front_logic::receive(const net::http_request& request) {
    if (request.method == "POST") {
        receive_post(request);
    } else if (request.method == "GET") {
        receive_get(request);
    } else if (const auto service = detail::between(request.path, detail::documents_prefix, {});
               request.method == "PUT" && !service.empty()) {
        receive_edit(request, service);
    } else {
        answer_error(request.number, detail::no_such_endpoint(request));
    }
}

void front_logic::receive_post(const net::http_request& request) {
    const auto jobs_of =
        detail::between(request.path, detail::services_prefix, detail::jobs_suffix);
    const auto requests_of =
        detail::between(request.path, detail::services_prefix, detail::requests_suffix);
    if (!jobs_of.empty()) {
        receive_call(request, jobs_of, call_kind::job);
    } else if (!requests_of.empty()) {
        receive_call(request, requests_of, call_kind::single_task);
    } else if (request.path == "/v1/submission-ids") {
        receive_id_request(request);
    } else if (request.path == "/v1/targets/announce") {
        receive_target(request, false);
    } else if (request.path == "/v1/targets/leave") {
        receive_target(request, true);
    } else {
        answer_error(request.number, detail::no_such_endpoint(request));
    }
}

void front_logic::receive_get(const net::http_request& request) {
    const auto document_of = detail::between(request.path, detail::documents_prefix, {});
    if (!document_of.empty() || request.path == "/v1/documents") {
        show_document(request, document_of);
    } else if (request.path == "/v1/hosts" || request.path == "/v1/rollout") {
        receive_view(request, core::view_kind::hosts);
    } else if (request.path == "/v1/targets") {
        receive_view(request, core::view_kind::targets);
    } else if (request.path == "/v1/shards") {
        receive_view(request, core::view_kind::shards);
    } else if (request.path == "/v1/audit") {
        receive_view(request, core::view_kind::audit);
    } else if (request.path == "/metrics") {
        const auto text = metrics_->render();
        server_->answer(request.number,
                        {.content_type = "text/plain; version=0.0.4", .body = text});
    } else if (request.path == "/healthz") {
        server_->answer(request.number, {.body = "{}"});
    } else {
        answer_error(request.number, detail::no_such_endpoint(request));
    }
}

void front_logic::receive_call(const net::http_request& request, std::string_view service,
                               call_kind kind) {
    auto call = pipeline_(arrived_call{.kind = kind,
                                       .authorization = request.authorization,
                                       .service = service,
                                       .body = request.body});
    if (!call.ok()) {
        answer_error(request.number, call.status());
        return;
    }
    open_calls_.insert_or_assign(request.number,
                                 open_call{call->job.service, core::ms_clock::now()});
    send_to_dispatcher(request, job_submitted{address_of(request), std::move(call->job)});
}

void front_logic::receive_id_request(const net::http_request& request) {
    const auto principal = find_principal(options_.credentials, request.authorization);
    auto service = http::decode_service_name(request.body);
    if (!principal.ok() || !service.ok()) {
        answer_error(request.number, principal.ok() ? service.status() : principal.status());
        return;
    }
    send_to_dispatcher(request, id_requested{address_of(request), *std::move(service)});
}

void front_logic::receive_target(const net::http_request& request, bool leaving) {
    auto announcement = leaving ? http::decode_target_leave(request.body)
                                : http::decode_target_announcement(request.body);
    if (!announcement.ok()) {
        answer_error(request.number, announcement.status());
        return;
    }
    send_to_dispatcher(request, target_announced{address_of(request), *std::move(announcement)});
}

void front_logic::receive_edit(const net::http_request& request, std::string_view service) {
    auto edit = edit_pipeline_(arrived_edit{.authorization = request.authorization,
                                            .service = service,
                                            .base_version = request.header("If-Match"),
                                            .edit_id = request.header("X-Edit-Id"),
                                            .body = request.body});
    if (!edit.ok()) {
        answer_error(request.number, edit.status());
        return;
    }
    send_to_dispatcher(request, edit_submitted{address_of(request), *std::move(edit)});
}

void front_logic::receive_view(const net::http_request& request, core::view_kind kind) {
    const auto principal = find_principal(options_.credentials, request.authorization);
    if (!principal.ok() || principal->kind == settings::role::caller) {
        answer_error(request.number,
                     principal.ok() ? core::make_error(absl::StatusCode::kPermissionDenied,
                                                       {.step = "authenticate", .peer = {}},
                                                       "a caller's token may not read this view")
                                    : principal.status());
        return;
    }
    send_to_dispatcher(request, view_requested{address_of(request), kind});
}

void front_logic::show_document(const net::http_request& request, std::string_view service) {
    const auto principal = find_principal(options_.credentials, request.authorization);
    if (!principal.ok()) {
        answer_error(request.number, principal.status());
        return;
    }
    std::string body;
    if (service.empty()) {
        for (const auto& document :
             documents_ ? documents_->documents() : std::span<const core::service_document>{}) {
            body += (body.empty() ? "[" : ",") + settings::to_json(document);
        }
        body = body.empty() ? "[]" : body + "]";
    } else if (const auto* const document = documents_ ? documents_->find(service) : nullptr) {
        body = settings::to_json(*document);
    } else {
        answer_error(request.number, core::make_error(absl::StatusCode::kNotFound,
                                                      {.step = "show_document", .peer = {}},
                                                      "this entry host has no such document"));
        return;
    }
    server_->answer(request.number, {.body = body});
}

void front_logic::handle(front_message incoming) {
    std::visit([this](auto&& message) { handle(std::forward<decltype(message)>(message)); },
               std::move(incoming));
}

void front_logic::handle(const job_answered& answered) {
    if (const auto call = open_calls_.extract(answered.request); !call.empty()) {
        metrics_->for_service(call.mapped().service)
            .observe_response(answered.answer.outcome,
                              core::ms_clock::now() - call.mapped().arrived);
    }
    const auto encoded = http::encode_job_answer(answered.answer);
    server_->answer(answered.request, {.status = encoded.status,
                                       .body = encoded.body,
                                       .retry_after = answered.answer.retry_after});
}

void front_logic::handle(const request_done& done) {
    if (done.status.ok()) {
        server_->answer(done.request, {.body = "{}"});
    } else {
        answer_error(done.request, done.status);
    }
}

void front_logic::handle(const id_issued& issued) {
    const auto body = http::encode_submission_id(issued.id);
    server_->answer(issued.request, {.body = body});
}

void front_logic::handle(const edit_answered& answered) {
    const auto body = http::encode_edit_answer(detail::result_name(answered.answer.result),
                                               answered.answer.version);
    server_->answer(answered.request,
                    {.status = detail::edit_status(answered.answer.result), .body = body});
}

void front_logic::handle(const view_ready& ready) {
    const auto body = http::encode_view(ready.view);
    server_->answer(ready.request, {.body = body});
}

void front_logic::handle(documents_changed changed) {
    documents_ = std::move(changed.documents);
}

void front_logic::handle(const close_requested& /*close*/) {
    server_->close(on_idle_);
}

void front_logic::send_to_dispatcher(const net::http_request& request,
                                     dispatcher_message to_dispatcher) {
    if (!to_dispatcher_(std::move(to_dispatcher))) {
        open_calls_.erase(request.number);
        answer_error(request.number, detail::overloaded());
    }
}

void front_logic::answer_error(std::uint64_t request, const absl::Status& error) {
    const auto encoded = http::encode_error(error);
    server_->answer(request, {.status = encoded.status, .body = encoded.body});
}

local_caller front_logic::address_of(const net::http_request& request) const {
    return {.front_end = options_.number, .request = request.number};
}

} // namespace hawthornstall::entry
