#include "hawthornstall/net/buffered_socket.hpp"

#include <event2/buffer.h>
#include <event2/bufferevent.h>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <new>
#include <sys/socket.h>

namespace hawthornstall::net::detail {

void bufferevent_deleter::operator()(bufferevent* socket) const noexcept {
    bufferevent_free(socket);
}

void evbuffer_deleter::operator()(evbuffer* buffer) const noexcept {
    evbuffer_free(buffer);
}

buffer_handle make_buffer() {
    buffer_handle buffer{evbuffer_new()};
    if (buffer == nullptr) {
        throw std::bad_alloc{};
    }
    return buffer;
}

buffered_socket make_buffered_socket(event_base* base, int descriptor) {
    buffered_socket socket{bufferevent_socket_new(base, descriptor, BEV_OPT_CLOSE_ON_FREE)};
    if (socket == nullptr) {
        throw std::bad_alloc{};
    }
    return socket;
}

void disable_send_delay(int descriptor) noexcept {
    const int enabled = 1;
    // A failure only delays messages.
    (void)setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof enabled);
}

} // namespace hawthornstall::net::detail
