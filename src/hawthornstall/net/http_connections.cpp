#include "hawthornstall/net/http_connections.hpp"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>

#include <algorithm>
#include <new>
#include <string_view>
#include <vector>

namespace hawthornstall::net {
namespace detail {

/// Interval of the check for requests that arrive too slowly.
constexpr core::duration_ms slow_check_interval{5'000};

/// evhttp answers requests beyond its own limits with an error page and closes the connection. Its
/// limits are twice the configured ones, but at most this much more, so that most requests beyond a
/// limit get a JSON error.
constexpr std::size_t max_evhttp_margin = std::size_t{64} * 1024;

std::size_t evhttp_limit(std::size_t limit) {
    return limit + std::min(limit, max_evhttp_margin);
}

/// What evhttp needs for a header beside its text.
constexpr std::size_t line_bytes = 112;

/// Number of line ends in the last `bytes` of `buffer`.
std::size_t count_lines(evbuffer* buffer, std::size_t bytes) {
    evbuffer_ptr position{};
    const auto length = evbuffer_get_length(buffer);
    if (evbuffer_ptr_set(buffer, &position, length - std::min(length, bytes), EVBUFFER_PTR_SET) !=
        0) {
        return 0;
    }
    const int count = evbuffer_peek(buffer, -1, &position, nullptr, 0);
    std::vector<evbuffer_iovec> blocks(static_cast<std::size_t>(std::max(count, 0)));
    (void)evbuffer_peek(buffer, -1, &position, blocks.data(), count);
    std::size_t lines = 0;
    for (const auto& block : blocks) {
        const std::string_view text{static_cast<const char*>(block.iov_base), block.iov_len};
        lines += static_cast<std::size_t>(std::ranges::count(text, '\n'));
    }
    return lines;
}

timeval to_timeval(core::duration_ms time) {
    constexpr core::duration_ms::rep ms_per_second = 1000;
    return {.tv_sec = time.count() / ms_per_second,
            .tv_usec = time.count() % ms_per_second * ms_per_second};
}

} // namespace detail

void http_connections::event_deleter::operator()(event* handle) const noexcept {
    event_free(handle);
}

http_connections::http_connections(runtime::event_loop& loop, evhttp* server,
                                   const request_limits& requests,
                                   const connection_limits& connections, closed_handler on_closed)
    : loop_(loop), server_(server), requests_(requests), budget_(connections),
      on_closed_(std::move(on_closed)),
      adopt_event_(event_new(loop.base(), -1, 0, &http_connections::on_adopt, this)),
      check_event_(event_new(loop.base(), -1, 0, &http_connections::on_check, this)) {
    if (adopt_event_ == nullptr || check_event_ == nullptr) {
        throw std::bad_alloc{};
    }
    evhttp_set_bevcb(server_, &http_connections::on_accept, this);
    set_limits(requests);
    check_timer_ = loop_.every(detail::slow_check_interval, [this] { close_due(); });
}

http_connections::~http_connections() = default;

void http_connections::set_limits(const request_limits& requests) {
    requests_ = requests;
    const auto timeout = detail::to_timeval(requests_.idle_time);
    evhttp_set_timeout_tv(server_, &timeout);
    evhttp_set_max_headers_size(
        server_, static_cast<ev_ssize_t>(detail::evhttp_limit(requests_.max_header_bytes)));
    evhttp_set_max_body_size(
        server_, static_cast<ev_ssize_t>(detail::evhttp_limit(requests_.max_body_bytes)));
    for (auto& [number, item] : connections_) {
        apply_limits(item);
    }
}

void http_connections::apply_limits(connection& item) const {
    const auto header_bytes = detail::evhttp_limit(requests_.max_header_bytes);
    const auto body_bytes = detail::evhttp_limit(requests_.max_body_bytes);
    // evhttp handles a body only once all of it is in the buffer. A request that has begun may be
    // as large as before.
    item.read_limit = std::max(item.read_limit, header_bytes + body_bytes);
    bufferevent_setwatermark(item.socket, EV_READ, 0, item.read_limit);
    if (item.native != nullptr) {
        const auto timeout = detail::to_timeval(requests_.idle_time);
        evhttp_connection_set_timeout_tv(item.native, &timeout);
        evhttp_connection_set_max_headers_size(item.native, static_cast<ev_ssize_t>(header_bytes));
        evhttp_connection_set_max_body_size(item.native, static_cast<ev_ssize_t>(body_bytes));
    }
}

bufferevent* http_connections::on_accept(event_base* base, void* argument) {
    return static_cast<http_connections*>(argument)->add(base);
}

bufferevent* http_connections::add(event_base* base) {
    auto* const socket = bufferevent_socket_new(base, -1, BEV_OPT_CLOSE_ON_FREE);
    if (socket == nullptr) {
        // evhttp makes a socket of its own, which is not accounted for.
        return nullptr;
    }
    const auto number = ++last_number_;
    auto& added = connections_[number];
    added = {.owner = this, .number = number, .socket = socket};
    added.on_input =
        evbuffer_add_cb(bufferevent_get_input(socket), &http_connections::on_input_changed, &added);
    added.on_output = evbuffer_add_cb(bufferevent_get_output(socket),
                                      &http_connections::on_output_changed, &added);
    numbers_[socket] = number;
    budget_.opened(number, core::ms_clock::now());
    apply_limits(added);
    // evhttp completes the connection after this call. The event runs before the next one is read
    // from or closed.
    event_active(adopt_event_.get(), EV_TIMEOUT, 0);
    check_soon();
    return socket;
}

void http_connections::on_adopt(int /*descriptor*/, short /*events*/, void* argument) {
    static_cast<http_connections*>(argument)->adopt_new();
}

/// Registers for the end of the connections that evhttp has just made. evhttp passes its connection
/// as the argument of the callbacks that it sets on the socket; there is no other way to it before
/// the first request.
void http_connections::adopt_new() {
    for (auto position = connections_.upper_bound(last_adopted_); position != connections_.end();
         ++position) {
        auto& item = position->second;
        void* native = nullptr;
        bufferevent_getcb(item.socket, nullptr, nullptr, nullptr, &native);
        item.native = static_cast<evhttp_connection*>(native);
        evhttp_connection_set_closecb(item.native, &http_connections::on_closed, &item);
        apply_limits(item);
        last_adopted_ = item.number;
    }
}

void http_connections::on_input_changed(evbuffer* buffer, const evbuffer_cb_info* change,
                                        void* argument) {
    const auto& item = *static_cast<connection*>(argument);
    if (change->n_added > 0) {
        item.owner->add_received(item, buffer, change->n_added);
        item.owner->check_soon();
    }
}

/// Counts bytes that have arrived, which are the last ones in `buffer`. evhttp keeps each line of
/// the headers in three blocks of memory, whatever its length.
void http_connections::add_received(const connection& item, evbuffer* buffer, std::size_t bytes) {
    auto cost = bytes;
    if (budget_.received_by(item.number) < detail::evhttp_limit(requests_.max_header_bytes)) {
        cost += detail::line_bytes * detail::count_lines(buffer, bytes);
    }
    budget_.received(item.number, cost, core::ms_clock::now());
}

void http_connections::on_output_changed(evbuffer* buffer, const evbuffer_cb_info* change,
                                         void* argument) {
    const auto& item = *static_cast<connection*>(argument);
    item.owner->budget_.set_unsent(item.number, evbuffer_get_length(buffer));
    if (change->n_added > 0) {
        item.owner->check_soon();
    }
}

void http_connections::on_closed(evhttp_connection* /*native*/, void* argument) {
    const auto& item = *static_cast<connection*>(argument);
    item.owner->remove(item.number);
}

void http_connections::remove(std::uint64_t number) {
    const auto found = connections_.find(number);
    if (found == connections_.end()) {
        return;
    }
    const auto& item = found->second;
    evbuffer_remove_cb_entry(bufferevent_get_input(item.socket), item.on_input);
    evbuffer_remove_cb_entry(bufferevent_get_output(item.socket), item.on_output);
    evhttp_connection_set_closecb(item.native, nullptr, nullptr);
    numbers_.erase(item.socket);
    connections_.erase(found);
    budget_.closed(number);
    on_closed_(number);
}

std::uint64_t http_connections::number_of(evhttp_request* request) const {
    const auto found =
        numbers_.find(evhttp_connection_get_bufferevent(evhttp_request_get_connection(request)));
    return found == numbers_.end() ? 0 : found->second;
}

void http_connections::request_complete(std::uint64_t connection) {
    budget_.request_complete(connection);
}

void http_connections::request_answered(std::uint64_t connection) {
    const auto found = connections_.find(connection);
    if (found != connections_.end()) {
        budget_.request_answered(connection,
                                 evbuffer_get_length(bufferevent_get_input(found->second.socket)),
                                 core::ms_clock::now());
    }
}

void http_connections::check_soon() {
    const auto& limits = budget_.limits();
    if (budget_.held_bytes() > limits.max_bytes || budget_.connections() > limits.max_connections) {
        event_active(check_event_.get(), EV_TIMEOUT, 0);
    }
}

void http_connections::on_check(int /*descriptor*/, short /*events*/, void* argument) {
    static_cast<http_connections*>(argument)->close_due();
}

void http_connections::close_due() {
    // Connections are closed through evhttp, which must have made them.
    adopt_new();
    for (const auto& due : budget_.take_due(core::ms_clock::now())) {
        if (observer_) {
            observer_(due);
        }
        shut_down(connections_.at(due.connection));
    }
}

/// Reports an error on the socket, after which evhttp frees the connection as when its client has
/// gone. Nothing more is read: evhttp would take it for the rest of the request.
void http_connections::shut_down(const connection& item) {
    bufferevent_disable(item.socket, EV_READ | EV_WRITE);
    bufferevent_trigger_event(item.socket, BEV_EVENT_ERROR, BEV_TRIG_DEFER_CALLBACKS);
}

} // namespace hawthornstall::net
