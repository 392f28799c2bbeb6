#include "hawthornstall/net/http_server.hpp"

#include "hawthornstall/core/error.hpp"
#include "hawthornstall/net/socket_address.hpp"

#include <event2/buffer.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <event2/listener.h>

#include <cstring>
#include <new>
#include <sys/queue.h>
#include <utility>

namespace hawthornstall::net {
namespace detail {

constexpr int listen_backlog = 4096;

/// Pause after a connection could not be accepted, for example for want of descriptors. It stays in
/// the queue, so that the event loop would try again at once and for ever.
constexpr core::duration_ms accept_pause{100};

/// Every method is passed to the handler, which answers unsupported ones with a JSON error.
constexpr ev_uint16_t all_methods = EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_HEAD |
                                    EVHTTP_REQ_PUT | EVHTTP_REQ_DELETE | EVHTTP_REQ_OPTIONS |
                                    EVHTTP_REQ_TRACE | EVHTTP_REQ_CONNECT | EVHTTP_REQ_PATCH;

std::string_view or_empty(const char* text) {
    return text == nullptr ? std::string_view{} : std::string_view{text};
}

std::string_view method_name(evhttp_cmd_type method) {
    switch (method) {
    case EVHTTP_REQ_GET:
        return "GET";
    case EVHTTP_REQ_POST:
        return "POST";
    case EVHTTP_REQ_HEAD:
        return "HEAD";
    case EVHTTP_REQ_PUT:
        return "PUT";
    case EVHTTP_REQ_DELETE:
        return "DELETE";
    case EVHTTP_REQ_OPTIONS:
        return "OPTIONS";
    case EVHTTP_REQ_TRACE:
        return "TRACE";
    case EVHTTP_REQ_CONNECT:
        return "CONNECT";
    case EVHTTP_REQ_PATCH:
        return "PATCH";
    }
    return "UNKNOWN";
}

/// Size of the URI and the headers, as counted against the header limit.
std::size_t header_bytes(evhttp_request* request) {
    constexpr std::size_t separator_bytes = 4; // ": " and "\r\n"
    std::size_t bytes = or_empty(evhttp_request_get_uri(request)).size();
    const evkeyvalq* const headers = evhttp_request_get_input_headers(request);
    for (const evkeyval* item = headers->tqh_first; item != nullptr; item = item->next.tqe_next) {
        bytes += std::strlen(item->key) + std::strlen(item->value) + separator_bytes;
    }
    return bytes;
}

std::string_view body_of(evhttp_request* request) {
    evbuffer* const input = evhttp_request_get_input_buffer(request);
    const std::size_t length = evbuffer_get_length(input);
    if (length == 0) {
        return {};
    }
    const auto* const bytes = evbuffer_pullup(input, -1);
    return {reinterpret_cast<const char*>(bytes), length}; // NOLINT: evbuffer holds raw bytes
}

void send(evhttp_request* request, const http_answer& answer) {
    constexpr core::duration_ms::rep ms_per_second = 1000;
    evkeyvalq* const headers = evhttp_request_get_output_headers(request);
    if (!answer.content_type.empty()) {
        evhttp_add_header(headers, "Content-Type", std::string{answer.content_type}.c_str());
    }
    if (answer.retry_after.count() > 0) {
        const auto seconds = (answer.retry_after.count() + ms_per_second - 1) / ms_per_second;
        evhttp_add_header(headers, "Retry-After", std::to_string(seconds).c_str());
    }
    evbuffer_add(evhttp_request_get_output_buffer(request), answer.body.data(), answer.body.size());
    // Without a reason phrase evhttp supplies the standard one.
    evhttp_send_reply(request, answer.status, nullptr, nullptr);
}

} // namespace detail

std::string_view http_request::header(std::string_view name) const {
    return detail::or_empty(
        evhttp_find_header(evhttp_request_get_input_headers(native), std::string{name}.c_str()));
}

void http_server::evhttp_deleter::operator()(evhttp* server) const noexcept {
    evhttp_free(server);
}

http_server::http_server(runtime::event_loop& loop, std::string_view address,
                         http_server_limits limits, handler handle)
    : loop_(loop), address_(address), limits_(limits), handler_(std::move(handle)),
      server_(evhttp_new(loop.base())) {
    if (server_ == nullptr) {
        throw std::bad_alloc{};
    }
    connections_ = std::make_unique<http_connections>(
        loop, server_.get(),
        request_limits{.max_header_bytes = limits.max_header_bytes,
                       .max_body_bytes = limits.max_body_bytes,
                       .idle_time = limits.read_timeout},
        limits.connections, [this](std::uint64_t connection) { connection_closed(connection); });
    evhttp_set_allowed_methods(server_.get(), detail::all_methods);
    evhttp_set_gencb(server_.get(), &http_server::on_request, this);
}

http_server::~http_server() {
    // Freeing evhttp frees the requests that still have a connection.
    destroyed_ = true;
    for (auto& [number, request] : open_) {
        if (request.client_disconnected) {
            evhttp_request_free(request.native);
        }
    }
    server_.reset();
}

void http_server::set_request_limits(const request_limits& limits) {
    limits_.max_header_bytes = limits.max_header_bytes;
    limits_.max_body_bytes = limits.max_body_bytes;
    connections_->set_limits(limits);
}

absl::Status http_server::start() {
    const core::error_origin origin{.step = "listen", .peer = address_};
    const auto parsed = parse_socket_address(address_);
    if (!parsed.ok()) {
        return parsed.status();
    }
    constexpr unsigned flags =
        LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC | LEV_OPT_REUSEABLE | LEV_OPT_REUSEABLE_PORT;
    evconnlistener* const listener =
        evconnlistener_new_bind(loop_.base(), nullptr, nullptr, flags, detail::listen_backlog,
                                parsed->data(), static_cast<int>(parsed->length));
    if (listener == nullptr) {
        return core::make_error(absl::StatusCode::kUnavailable, origin, std::strerror(errno));
    }
    listener_ = evhttp_bind_listener(server_.get(), listener);
    if (listener_ == nullptr) {
        evconnlistener_free(listener);
        return core::make_error(absl::StatusCode::kInternal, origin, "evhttp refused the listener");
    }
    evconnlistener_set_error_cb(listener, &http_server::on_accept_error);
    accept_again_event_ = loop_.every(detail::accept_pause, [this, listener] {
        if (listener_ != nullptr) {
            evconnlistener_enable(listener);
        }
    });
    address_ = local_address(evconnlistener_get_fd(listener));
    return absl::OkStatus();
}

// The argument is evhttp's own, since evhttp sets the argument of the listener. The timer that
// start() sets enables the listener again.
void http_server::on_accept_error(evconnlistener* listener, void* /*argument*/) {
    evconnlistener_disable(listener);
}

void http_server::on_request(evhttp_request* native, void* argument) {
    static_cast<http_server*>(argument)->receive(native);
}

bool http_server::refuse_if_not_acceptable(evhttp_request* native) {
    http_answer answer;
    if (detail::header_bytes(native) > limits_.max_header_bytes) {
        answer = {.status = 431,
                  .body = R"({"outcome":"refused_not_run","reason":"headers are too large"})"};
    } else if (evbuffer_get_length(evhttp_request_get_input_buffer(native)) >
               limits_.max_body_bytes) {
        answer = {.status = 413,
                  .body = R"({"outcome":"refused_not_run","reason":"body is too large"})"};
    } else if (closing_) {
        answer = {.status = 503,
                  .body = R"({"outcome":"refused_not_run","reason":"server is shutting down"})",
                  .retry_after = core::duration_ms{1000}};
    } else if (open_.size() >= limits_.max_open_requests) {
        answer = {.status = 503,
                  .body = R"({"outcome":"refused_not_run","reason":"too many open requests"})",
                  .retry_after = core::duration_ms{1000}};
    } else {
        return false;
    }
    ++counts_.refused;
    if (refusal_observer_) {
        refusal_observer_(answer.status, answer.body);
    }
    if (closing_) {
        evhttp_add_header(evhttp_request_get_output_headers(native), "Connection", "close");
    }
    detail::send(native, answer);
    return true;
}

void http_server::receive(evhttp_request* native) {
    const auto connection = connections_->number_of(native);
    connections_->request_complete(connection);
    evhttp_request_set_on_complete_cb(native, &http_server::on_answer_written, this);
    if (refuse_if_not_acceptable(native)) {
        return;
    }
    const std::uint64_t number = ++last_number_;
    open_[number] = {.number = number, .native = native};
    request_of_[connection] = number;
    ++counts_.requests;
    handler_(make_request_view(number, native));
}

bool http_server::handle_again(std::uint64_t number) {
    const auto found = open_.find(number);
    if (found == open_.end() || found->second.answer_sent || found->second.client_disconnected) {
        return false;
    }
    handler_(make_request_view(number, found->second.native));
    return true;
}

http_request http_server::make_request_view(std::uint64_t number, evhttp_request* native) {
    const evhttp_uri* const uri = evhttp_request_get_evhttp_uri(native);
    const evkeyvalq* const headers = evhttp_request_get_input_headers(native);
    return {.number = number,
            .method = detail::method_name(evhttp_request_get_command(native)),
            .path = detail::or_empty(evhttp_uri_get_path(uri)),
            .query = detail::or_empty(evhttp_uri_get_query(uri)),
            .authorization = detail::or_empty(evhttp_find_header(headers, "Authorization")),
            .content_type = detail::or_empty(evhttp_find_header(headers, "Content-Type")),
            .body = detail::body_of(native),
            .native = native};
}

bool http_server::answer(std::uint64_t number, const http_answer& answer) {
    const auto found = open_.find(number);
    if (found == open_.end() || found->second.answer_sent) {
        return false;
    }
    auto& open = found->second;
    if (open.client_disconnected) {
        evhttp_request_free(open.native);
        ++counts_.dropped;
        remove_request(number);
        return false;
    }
    open.answer_sent = true;
    if (closing_) {
        evhttp_add_header(evhttp_request_get_output_headers(open.native), "Connection", "close");
    }
    detail::send(open.native, answer);
    return true;
}

void http_server::connection_closed(std::uint64_t connection) {
    const auto found = request_of_.find(connection);
    if (found == request_of_.end() || destroyed_) {
        return;
    }
    auto& open = open_.at(found->second);
    request_of_.erase(found);
    open.client_disconnected = true;
    // Once the answer is sent, evhttp owns the request and frees it with the connection.
    if (open.answer_sent) {
        ++counts_.dropped;
        remove_request(open.number);
    } else if (disconnect_handler_) {
        disconnect_handler_(open.number);
    }
}

void http_server::on_answer_written(evhttp_request* native, void* argument) {
    auto& self = *static_cast<http_server*>(argument);
    self.answer_written(self.connections_->number_of(native));
}

void http_server::answer_written(std::uint64_t connection) {
    connections_->request_answered(connection);
    // A refused request was not registered.
    const auto found = request_of_.find(connection);
    if (found != request_of_.end()) {
        const auto number = found->second;
        request_of_.erase(found);
        ++counts_.answered;
        remove_request(number);
    }
}

void http_server::remove_request(std::uint64_t number) {
    open_.erase(number);
    report_idle();
}

void http_server::close(std::function<void()> idle) {
    closing_ = true;
    idle_handler_ = std::move(idle);
    if (listener_ != nullptr) {
        evhttp_del_accept_socket(server_.get(), listener_);
        listener_ = nullptr;
    }
    report_idle();
}

void http_server::report_idle() {
    if (!closing_ || !idle_handler_ || !open_.empty()) {
        return;
    }
    // Deferred because the callback may destroy this server while evhttp is on the call stack.
    idle_event_ = loop_.after(core::duration_ms{0}, std::exchange(idle_handler_, nullptr));
}

} // namespace hawthornstall::net
