#include "hawthornstall/net/peer_dialer.hpp"

#include "hawthornstall/core/error.hpp"
#include "hawthornstall/net/frame.hpp"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>

#include <algorithm>
#include <cstddef>

namespace hawthornstall::net {
namespace detail {

/// Delay before a connection that has ended is opened again. It doubles up to the longest one.
/// Reconnect attempts are frequent because a peer counts as unreachable within 1,500 ms.
constexpr core::duration_ms first_reconnect_delay{50};
constexpr core::duration_ms longest_reconnect_delay{250};

/// A send fails while this much is queued, which tells the sender that the peer is slow.
constexpr std::size_t max_queued_bytes = std::size_t{4} * 1024 * 1024;

} // namespace detail

peer_dialer::peer_dialer(runtime::event_loop& loop, std::string_view address)
    : loop_(loop), address_(address), waiting_(detail::make_buffer()),
      reconnect_delay_(detail::first_reconnect_delay) {}

void peer_dialer::replace_connection() {
    evbuffer_drain(waiting_.get(), evbuffer_get_length(waiting_.get()));
    starts_connection_ = true;
    connect();
}

void peer_dialer::connect() {
    reconnect_event_ = {};
    connected_ = false;
    socket_.reset();
    const auto address = parse_socket_address(address_);
    if (!address.ok()) {
        return;
    }
    socket_ = detail::make_buffered_socket(loop_.base(), -1);
    bufferevent_setcb(socket_.get(), &peer_dialer::on_readable, nullptr, &peer_dialer::on_event,
                      this);
    // Reading shows when the peer closes the connection.
    bufferevent_enable(socket_.get(), EV_READ | EV_WRITE);
    if (bufferevent_socket_connect(socket_.get(), address->data(),
                                   static_cast<int>(address->length)) != 0) {
        reconnect_later();
        return;
    }
    detail::disable_send_delay(bufferevent_getfd(socket_.get()));
}

void peer_dialer::reconnect_later() {
    connected_ = false;
    socket_.reset();
    // What was written to the socket is lost. What waits is sent first on the next connection.
    starts_connection_ = evbuffer_get_length(waiting_.get()) == 0;
    reconnect_event_ = loop_.after(reconnect_delay_, [this] { connect(); });
    reconnect_delay_ = std::min(2 * reconnect_delay_, detail::longest_reconnect_delay);
}

absl::Status peer_dialer::send(std::string_view message) {
    const core::error_origin origin{.step = "send_to_peer", .peer = address_};
    if (evbuffer_get_length(queue()) >= detail::max_queued_bytes) {
        return core::make_error(absl::StatusCode::kResourceExhausted, origin,
                                "too many bytes are queued");
    }
    if (!append_frame(queue(), message)) {
        // A part of a frame may be in the buffer, which would corrupt all that follows.
        replace_connection();
        return core::make_error(absl::StatusCode::kResourceExhausted, origin, "out of memory");
    }
    starts_connection_ = false;
    return absl::OkStatus();
}

std::size_t peer_dialer::queued_bytes() const noexcept {
    return evbuffer_get_length(queue());
}

evbuffer* peer_dialer::queue() const noexcept {
    return connected_ ? bufferevent_get_output(socket_.get()) : waiting_.get();
}

void peer_dialer::on_readable(bufferevent* socket, void* /*argument*/) {
    // Peers send nothing on connections that they have accepted.
    evbuffer* const input = bufferevent_get_input(socket);
    evbuffer_drain(input, evbuffer_get_length(input));
}

void peer_dialer::on_event(bufferevent* socket, short events, void* argument) {
    auto& self = *static_cast<peer_dialer*>(argument);
    if ((events & BEV_EVENT_CONNECTED) != 0) {
        self.reconnect_delay_ = detail::first_reconnect_delay;
        self.connected_ = true;
        // Without enough memory the messages are lost, which the peer notices.
        (void)bufferevent_write_buffer(socket, self.waiting_.get());
    } else {
        self.reconnect_later();
    }
}

} // namespace hawthornstall::net
