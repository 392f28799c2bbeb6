#pragma once

/// Ownership of libevent's buffered sockets.

#include <memory>

struct bufferevent;
struct evbuffer;
struct event_base;

namespace hawthornstall::net::detail {

struct bufferevent_deleter {
    void operator()(bufferevent* socket) const noexcept;
};

struct evbuffer_deleter {
    void operator()(evbuffer* buffer) const noexcept;
};

/// A buffer outside of a socket.
using buffer_handle = std::unique_ptr<evbuffer, evbuffer_deleter>;

/// A buffered socket. Its destruction closes the socket and drops what was not sent yet.
using buffered_socket = std::unique_ptr<bufferevent, bufferevent_deleter>;

/// Throws std::bad_alloc when there is not enough memory.
[[nodiscard]] buffer_handle make_buffer();

/// Wraps `descriptor`, or, when it is -1, a socket that is opened by connecting it. Throws
/// std::bad_alloc when there is not enough memory.
[[nodiscard]] buffered_socket make_buffered_socket(event_base* base, int descriptor);

/// Sends small messages at once instead of collecting them.
void disable_send_delay(int descriptor) noexcept;

} // namespace hawthornstall::net::detail
