#pragma once

/// The incoming connections of a process's links.

#include "hawthornstall/core/ms_clock.hpp"
#include "hawthornstall/net/buffered_socket.hpp"
#include "hawthornstall/runtime/event_loop.hpp"

#include <absl/status/status.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string_view>

struct evconnlistener;
struct sockaddr;

namespace hawthornstall::net {

/// Accepts connections and passes on the messages that arrive on them.
class peer_listener {
public:
    /// Receives the number of the connection and a message, which is valid during the call only.
    /// Connections are numbered from 1 in the order in which they are accepted. Returns whether the
    /// connection may stay open.
    using message_handler = std::function<bool(std::uint64_t, std::string_view)>;

    /// Most connections without an accepted message; beyond it the oldest is closed.
    static constexpr std::size_t max_unknown_connections = 256;

    /// Default limit on what connections hold together before their first message has been
    /// accepted. The first message of a peer may be a configuration of some MB.
    static constexpr std::size_t default_unknown_bytes = std::size_t{16} * 1024 * 1024;

    /// `loop` must outlive this object. When connections without an accepted message hold more than
    /// `max_unknown_bytes` together, the one that holds the most is closed.
    peer_listener(runtime::event_loop& loop, message_handler on_message,
                  std::size_t max_unknown_bytes = default_unknown_bytes)
        : loop_(loop), on_message_(std::move(on_message)), max_unknown_bytes_(max_unknown_bytes) {}
    ~peer_listener() = default;
    peer_listener(const peer_listener&) = delete;
    peer_listener& operator=(const peer_listener&) = delete;
    peer_listener(peer_listener&&) = delete;
    peer_listener& operator=(peer_listener&&) = delete;

    /// Listens on `address`, "ip:port".
    [[nodiscard]] absl::Status start(std::string_view address);

    /// Whether the connection with this number is open.
    [[nodiscard]] bool is_open(std::uint64_t connection) const {
        return connections_.contains(connection);
    }

    /// When bytes last arrived on the connection with this number; the epoch if it is closed.
    [[nodiscard]] core::time_ms last_read(std::uint64_t connection) const;

    /// Closes connections on which nothing has arrived for longer than `limit`.
    void close_silent(core::duration_ms limit, core::time_ms now);

private:
    struct listener_deleter {
        void operator()(evconnlistener* listener) const noexcept;
    };

    /// An accepted connection.
    struct connection {
        peer_listener* owner = nullptr;
        std::uint64_t number = 0;
        detail::buffered_socket socket;
        core::time_ms last_read{};
        bool is_known = false; ///< A message of it has been accepted.
    };

    // Callbacks of libevent; `argument` is the peer_listener or the connection.
    static void on_accept(evconnlistener* listener, int descriptor, sockaddr* address, int length,
                          void* argument);
    static void on_accept_error(evconnlistener* listener, void* argument);
    static void on_readable(bufferevent* socket, void* argument);
    static void on_event(bufferevent* socket, short events, void* argument);

    void add(int descriptor);
    /// Passes on the complete messages of a connection. Returns whether it may stay open.
    [[nodiscard]] bool read_messages(connection& from);
    void limit_unknown_connections();
    /// Closes connections without an accepted message while these hold too much.
    void limit_unknown_bytes();

    runtime::event_loop& loop_;
    message_handler on_message_;
    std::size_t max_unknown_bytes_;
    std::unique_ptr<evconnlistener, listener_deleter> listener_;
    runtime::event_handle accept_again_event_;
    std::uint64_t last_number_ = 0;
    std::map<std::uint64_t, connection> connections_; ///< By number, so the oldest first.
};

} // namespace hawthornstall::net
