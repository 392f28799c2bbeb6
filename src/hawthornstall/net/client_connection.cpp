#include "hawthornstall/net/client_connection.hpp"

#include "hawthornstall/net/socket_address.hpp"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>

#include <algorithm>
#include <cerrno>
#include <charconv>
#include <new>
#include <optional>
#include <stdexcept>
#include <sys/socket.h>
#include <utility>

namespace hawthornstall::net {
namespace detail {

/// evhttp's own timeout in seconds. It is longer than the timeout of any request, so that the timer
/// of the request always fires first.
constexpr int evhttp_timeout_s = 24 * 60 * 60;

constexpr int status_no_content = 204;

evhttp_cmd_type to_command(exchange_method method) {
    switch (method) {
    case exchange_method::get:
        return EVHTTP_REQ_GET;
    case exchange_method::post:
        return EVHTTP_REQ_POST;
    case exchange_method::put:
        return EVHTTP_REQ_PUT;
    }
    return EVHTTP_REQ_GET;
}

std::string_view header_of(evhttp_request* request, const char* name) {
    const char* const value = evhttp_find_header(evhttp_request_get_input_headers(request), name);
    return value == nullptr ? std::string_view{} : std::string_view{value};
}

/// Whether the body is complete according to its Content-Length or its chunked encoding. evhttp
/// also accepts a body that is delimited by the end of the connection, which cannot be
/// distinguished from a truncated one.
bool has_complete_body(evhttp_request* request, std::size_t received) {
    if (evhttp_request_get_response_code(request) == status_no_content) {
        return received == 0;
    }
    const auto length = header_of(request, "Content-Length");
    if (length.empty()) {
        return header_of(request, "Transfer-Encoding") == "chunked";
    }
    std::size_t announced = 0;
    const char* const end = length.data() + length.size();
    const auto parsed = std::from_chars(length.data(), end, announced);
    return parsed.ec == std::errc{} && parsed.ptr == end && announced == received;
}

exchange_fault to_fault(int error) {
    switch (error) {
    case EVREQ_HTTP_TIMEOUT:
        return exchange_fault::timed_out;
    case EVREQ_HTTP_INVALID_HEADER:
        return exchange_fault::malformed_answer;
    case EVREQ_HTTP_DATA_TOO_LONG:
        return exchange_fault::answer_too_large;
    default:
        return exchange_fault::connection_lost;
    }
}

evhttp_connection* new_connection(runtime::event_loop& loop, std::string_view address) {
    const auto parts = split_address(address);
    if (!parts.ok()) {
        throw std::invalid_argument{"address needs the form ip:port"};
    }
    evhttp_connection* const connection =
        evhttp_connection_base_new(loop.base(), nullptr, parts->host.c_str(), parts->port);
    if (connection == nullptr) {
        throw std::bad_alloc{};
    }
    return connection;
}

} // namespace detail

void client_connection::evhttp_deleter::operator()(evhttp_connection* connection) const noexcept {
    evhttp_connection_free(connection);
}

client_connection::client_connection(runtime::event_loop& loop, std::string_view address,
                                     answer_limits limits)
    : loop_(loop), address_(address), connection_(detail::new_connection(loop, address)) {
    evhttp_connection* const connection = connection_.get();
    evhttp_connection_set_retries(connection, 0);
    evhttp_connection_set_timeout(connection, detail::evhttp_timeout_s);
    evhttp_connection_set_max_headers_size(connection,
                                           static_cast<ev_ssize_t>(limits.max_header_bytes));
    evhttp_connection_set_max_body_size(connection, static_cast<ev_ssize_t>(limits.max_body_bytes));
    evhttp_connection_set_closecb(connection, &client_connection::on_closed, this);
    evbuffer* const output = bufferevent_get_output(evhttp_connection_get_bufferevent(connection));
    evbuffer_add_cb(output, &client_connection::on_output, this);
}

client_connection::~client_connection() {
    // evhttp frees an in-flight request without calling its completion callback.
    if (connection_ != nullptr) {
        evhttp_connection_set_closecb(connection_.get(), nullptr, nullptr);
    }
}

void client_connection::send(const exchange_request& request, completion done) {
    done_ = std::move(done);
    fault_ = exchange_fault::none;
    may_have_sent_ = false;
    timeout_event_ =
        loop_.after(std::max(request.timeout, core::duration_ms{1}), [this] { on_timeout(); });
    evhttp_request* const native = evhttp_request_new(&client_connection::on_done, this);
    evhttp_request_set_error_cb(
        native, [](evhttp_request_error error, void* argument) { on_failed(error, argument); });
    evkeyvalq* const headers = evhttp_request_get_output_headers(native);
    const bool names_host = std::ranges::any_of(
        request.headers, [](const http_header& header) { return header.name == "Host"; });
    if (!names_host) {
        evhttp_add_header(headers, "Host", address_.c_str());
    }
    for (const auto& header : request.headers) {
        evhttp_add_header(headers, std::string{header.name}.c_str(),
                          std::string{header.value}.c_str());
    }
    evbuffer_add(evhttp_request_get_output_buffer(native), request.body.data(),
                 request.body.size());
    const int make_request_error =
        evhttp_make_request(connection_.get(), native, detail::to_command(request.method),
                            std::string{request.path}.c_str());
    if (make_request_error != 0 && busy()) {
        usable_ = false;
        finish(failure_result(exchange_fault::connect_failed));
    }
}

bool client_connection::revalidate_idle() {
    if (usable_ && connection_ != nullptr) {
        const int descriptor =
            bufferevent_getfd(evhttp_connection_get_bufferevent(connection_.get()));
        char byte = 0;
        const auto received = recv(descriptor, &byte, sizeof byte, MSG_PEEK | MSG_DONTWAIT);
        usable_ = received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
    }
    return usable_;
}

void client_connection::on_output(evbuffer* /*buffer*/, const evbuffer_cb_info* info,
                                  void* argument) {
    if (info->n_added > 0) {
        static_cast<client_connection*>(argument)->may_have_sent_ = true;
    }
}

void client_connection::on_failed(int error, void* argument) {
    static_cast<client_connection*>(argument)->fault_ = detail::to_fault(error);
}

void client_connection::on_closed(evhttp_connection* /*connection*/, void* argument) {
    static_cast<client_connection*>(argument)->usable_ = false;
}

void client_connection::on_done(evhttp_request* native, void* argument) {
    static_cast<client_connection*>(argument)->receive(native);
}

void client_connection::receive(evhttp_request* native) {
    if (!busy()) {
        return;
    }
    const int status = native == nullptr ? 0 : evhttp_request_get_response_code(native);
    if (status == 0) {
        usable_ = false;
        finish(failure_result(fault_));
        return;
    }
    evbuffer* const input = evhttp_request_get_input_buffer(native);
    const std::size_t length = evbuffer_get_length(input);
    if (!detail::has_complete_body(native, length)) {
        usable_ = false;
        finish(failure_result(exchange_fault::incomplete_body));
        return;
    }
    // Surplus bytes after the answer would be read as the answer to the next request.
    evbuffer* const rest =
        bufferevent_get_input(evhttp_connection_get_bufferevent(connection_.get()));
    usable_ = usable_ && evbuffer_get_length(rest) == 0;
    last_answer_ = core::ms_clock::now();
    const auto* const bytes =
        reinterpret_cast<const char*>(evbuffer_pullup(input, -1)); // NOLINT: raw bytes
    finish({.outcome = exchange_outcome::answered,
            .status = status,
            .content_type = detail::header_of(native, "Content-Type"),
            .body = length == 0 ? std::string_view{} : std::string_view{bytes, length}});
}

void client_connection::on_timeout() {
    usable_ = false;
    const auto result = failure_result(exchange_fault::timed_out);
    connection_.reset();
    finish(result);
}

exchange_result client_connection::failure_result(exchange_fault fault) const {
    if (may_have_sent_) {
        return {.outcome = exchange_outcome::broken,
                .fault = fault == exchange_fault::none ? exchange_fault::connection_lost : fault};
    }
    const bool timed_out = fault == exchange_fault::timed_out;
    return {.outcome = exchange_outcome::not_sent,
            .fault = timed_out ? fault : exchange_fault::connect_failed};
}

void client_connection::finish(const exchange_result& result) {
    timeout_event_ = {};
    const auto done = std::exchange(done_, nullptr);
    done(result);
}

} // namespace hawthornstall::net
