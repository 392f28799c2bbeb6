#pragma once

/// The outgoing connection of a link, which is opened again whenever it ends.

#include "hawthornstall/core/ms_clock.hpp"
#include "hawthornstall/net/buffered_socket.hpp"
#include "hawthornstall/net/socket_address.hpp"
#include "hawthornstall/runtime/event_loop.hpp"

#include <absl/status/status.h>

#include <cstdint>
#include <string>
#include <string_view>

namespace hawthornstall::net {

/// Connects to one peer and sends messages to it. Messages wait while a connection is being opened.
/// Those that were not sent when an open connection ends are dropped, since a part may have
/// arrived.
class peer_dialer {
public:
    /// `address` is "ip:port". `loop` must outlive this object.
    peer_dialer(runtime::event_loop& loop, std::string_view address);
    ~peer_dialer() = default;
    peer_dialer(const peer_dialer&) = delete;
    peer_dialer& operator=(const peer_dialer&) = delete;
    peer_dialer(peer_dialer&&) = delete;
    peer_dialer& operator=(peer_dialer&&) = delete;

    /// Closes the connection, if any, drops the messages that were not sent, and connects with a
    /// new socket. The messages must not arrive long after their senders have given up on them.
    void replace_connection();

    /// Queues `message`. Fails when too much is queued already.
    [[nodiscard]] absl::Status send(std::string_view message);

    /// Bytes of messages that are queued here and not yet taken by the system.
    [[nodiscard]] std::size_t queued_bytes() const noexcept;

    /// Whether the next message is the first one on its connection.
    [[nodiscard]] bool starts_connection() const noexcept { return starts_connection_; }

private:
    // Callbacks of libevent; `argument` is the peer_dialer.
    static void on_readable(bufferevent* socket, void* argument);
    static void on_event(bufferevent* socket, short events, void* argument);

    void connect();
    void reconnect_later();
    [[nodiscard]] evbuffer* queue() const noexcept;

    runtime::event_loop& loop_;
    std::string address_;
    detail::buffered_socket socket_;
    detail::buffer_handle waiting_; ///< Messages that wait for the connection to be open.
    bool connected_ = false;
    bool starts_connection_ = true;
    core::duration_ms reconnect_delay_;
    runtime::event_handle reconnect_event_;
};

} // namespace hawthornstall::net
