#include "hawthornstall/net/peer_listener.hpp"

#include "hawthornstall/core/error.hpp"
#include "hawthornstall/net/frame.hpp"
#include "hawthornstall/net/socket_address.hpp"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>

#include <algorithm>
#include <cerrno>
#include <cstring>

namespace hawthornstall::net {
namespace detail {

/// Connections that wait to be accepted. All peers connect at once after a restart.
constexpr int peer_backlog = 1024;

/// Pause after a connection could not be accepted, for example for want of descriptors. It stays in
/// the queue, so that the event loop would try again at once and for ever.
constexpr core::duration_ms accept_pause{100};

} // namespace detail

void peer_listener::listener_deleter::operator()(evconnlistener* listener) const noexcept {
    evconnlistener_free(listener);
}

absl::Status peer_listener::start(std::string_view address) {
    const core::error_origin origin{.step = "listen_for_peers", .peer = address};
    const auto parsed = parse_socket_address(address);
    if (!parsed.ok()) {
        return parsed.status();
    }
    constexpr unsigned flags = LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC | LEV_OPT_REUSEABLE;
    listener_.reset(evconnlistener_new_bind(loop_.base(), &peer_listener::on_accept, this, flags,
                                            detail::peer_backlog, parsed->data(),
                                            static_cast<int>(parsed->length)));
    if (listener_ == nullptr) {
        return core::make_error(absl::StatusCode::kUnavailable, origin, std::strerror(errno));
    }
    evconnlistener_set_error_cb(listener_.get(), &peer_listener::on_accept_error);
    return absl::OkStatus();
}

core::time_ms peer_listener::last_read(std::uint64_t connection) const {
    const auto found = connections_.find(connection);
    return found == connections_.end() ? core::time_ms{} : found->second.last_read;
}

void peer_listener::close_silent(core::duration_ms limit, core::time_ms now) {
    std::erase_if(connections_,
                  [&](const auto& item) { return now - item.second.last_read > limit; });
}

void peer_listener::on_accept(evconnlistener* /*listener*/, int descriptor, sockaddr* /*address*/,
                              int /*length*/, void* argument) {
    static_cast<peer_listener*>(argument)->add(descriptor);
}

void peer_listener::on_accept_error(evconnlistener* listener, void* argument) {
    auto& self = *static_cast<peer_listener*>(argument);
    evconnlistener_disable(listener);
    self.accept_again_event_ = self.loop_.after(
        detail::accept_pause, [&self] { evconnlistener_enable(self.listener_.get()); });
}

void peer_listener::add(int descriptor) {
    auto& added = connections_[++last_number_];
    added.owner = this;
    added.number = last_number_;
    added.last_read = core::ms_clock::now();
    added.socket = detail::make_buffered_socket(loop_.base(), descriptor);
    bufferevent_setcb(added.socket.get(), &peer_listener::on_readable, nullptr,
                      &peer_listener::on_event, &added);
    bufferevent_enable(added.socket.get(), EV_READ);
    limit_unknown_connections();
}

void peer_listener::limit_unknown_connections() {
    const auto is_unknown = [](const auto& item) {
        return !item.second.is_known;
    };
    if (connections_.size() > max_unknown_connections &&
        std::ranges::count_if(connections_, is_unknown) >
            static_cast<std::ptrdiff_t>(max_unknown_connections)) {
        connections_.erase(std::ranges::find_if(connections_, is_unknown));
    }
}

void peer_listener::on_readable(bufferevent* /*socket*/, void* argument) {
    auto& from = *static_cast<connection*>(argument);
    from.last_read = core::ms_clock::now();
    auto& self = *from.owner;
    if (!self.read_messages(from)) {
        self.connections_.erase(from.number);
    } else if (!from.is_known) {
        self.limit_unknown_bytes();
    }
}

void peer_listener::limit_unknown_bytes() {
    const auto held = [](const connection& item) {
        return item.is_known ? 0 : evbuffer_get_length(bufferevent_get_input(item.socket.get()));
    };
    std::size_t sum = 0;
    for (const auto& [number, item] : connections_) {
        sum += held(item);
    }
    while (sum > max_unknown_bytes_) {
        const auto largest = std::ranges::max_element(
            connections_, {}, [&](const auto& item) { return held(item.second); });
        sum -= held(largest->second);
        connections_.erase(largest);
    }
}

bool peer_listener::read_messages(connection& from) {
    evbuffer* const input = bufferevent_get_input(from.socket.get());
    for (;;) {
        const auto next = first_frame(input);
        if (next.status != frame_status::complete) {
            return next.status == frame_status::incomplete;
        }
        if (!on_message_(from.number, next.message)) {
            return false;
        }
        from.is_known = true;
        remove_frame(input, next);
    }
}

void peer_listener::on_event(bufferevent* /*socket*/, short /*events*/, void* argument) {
    // The peer has closed the connection or it has failed.
    const auto& from = *static_cast<connection*>(argument);
    from.owner->connections_.erase(from.number);
}

} // namespace hawthornstall::net
