#include "hawthornstall/net/http_connections.hpp"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>

#include <algorithm>
#include <new>
#include <sys/socket.h>

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
    for (const auto& [number, item] : connections_) {
        apply_limits(item);
    }
}

void http_connections::apply_limits(const connection& item) const {
    const auto header_bytes = detail::evhttp_limit(requests_.max_header_bytes);
    const auto body_bytes = detail::evhttp_limit(requests_.max_body_bytes);
    // evhttp handles a body only once all of it is in the buffer.
    bufferevent_setwatermark(item.socket, EV_READ, 0, header_bytes + body_bytes);
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
        last_adopted_ = item.number;
    }
}

void http_connections::on_input_changed(evbuffer* /*buffer*/, const evbuffer_cb_info* change,
                                        void* argument) {
    const auto& item = *static_cast<connection*>(argument);
    if (change->n_added > 0) {
        item.owner->budget_.received(item.number, change->n_added, core::ms_clock::now());
        item.owner->check_soon();
    }
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
    for (const auto& due : budget_.take_due(core::ms_clock::now())) {
        if (observer_) {
            observer_(due);
        }
        shut_down(connections_.at(due.connection));
    }
}

/// Lets libevent notice the end of the connection, after which evhttp frees it.
void http_connections::shut_down(const connection& item) {
    // Reading goes on, and meets the end, only once the buffer is below its limit.
    evbuffer* const input = bufferevent_get_input(item.socket);
    evbuffer_drain(input, evbuffer_get_length(input));
    bufferevent_enable(item.socket, EV_READ);
    (void)shutdown(bufferevent_getfd(item.socket), SHUT_RDWR);
}

} // namespace hawthornstall::net
