#include "hawthornstall/net/peer_links.hpp"

#include "hawthornstall/core/error.hpp"
#include "hawthornstall/net/socket_address.hpp"
#include "hawthornstall/wire/codec.hpp"

#include <utility>

namespace hawthornstall::net {
namespace detail {

/// A live peer sends a ping every 500 ms on its connection. A connection without messages for this
/// long has been abandoned by the peer and is closed.
constexpr core::duration_ms pipe_silence_limit{5000};

/// Maximum number of messages handled per iteration of the event loop, so that a high message rate
/// does not starve timers.
constexpr int receive_batch_messages = 1024;

} // namespace detail

peer_links::peer_links(runtime::event_loop& loop, identity self, message_handler on_message,
                       state_handler on_state)
    : loop_(loop), self_(std::move(self)), on_message_(std::move(on_message)),
      on_state_(std::move(on_state)) {}

absl::Status peer_links::start(std::span<const peer_endpoint> peers) {
    if (auto status = listener_.listen_pull(self_.listen_address); !status.ok()) {
        return status;
    }
    for (const auto& peer : peers) {
        add(peer);
    }
    receive_event_ =
        loop_.on_readable(listener_.receive_descriptor(), [this] { receive_pending(); });
    // Pings are sent at multiples of the interval on the wall clock. Processes with synchronised
    // clocks thus ping at the same times, and the pings of many peers are read in one iteration of
    // the event loop.
    const auto since_last_multiple =
        core::ms_clock::wall_now().time_since_epoch() % self_.ping_every;
    first_ping_event_ = loop_.after(self_.ping_every - since_last_multiple, [this] {
        ping_event_ = loop_.every(self_.ping_every, [this] { check_liveness(); });
        check_liveness();
    });
    return absl::OkStatus();
}

void peer_links::add(const peer_endpoint& peer) {
    if (peer.name == self_.name || links_.contains(peer.name)) {
        return;
    }
    auto& added = links_[peer.name];
    added.address = peer.address;
    replace_socket(added, core::ms_clock::now());
}

void peer_links::remove(std::string_view peer) {
    const auto found = links_.find(peer);
    if (found != links_.end()) {
        links_.erase(found);
    }
}

absl::Status peer_links::send(std::string_view peer, std::string_view body) {
    const auto found = links_.find(peer);
    if (found == links_.end()) {
        return core::make_error(absl::StatusCode::kNotFound, {.step = "send_to_peer", .peer = peer},
                                "no peer of this name is configured");
    }
    if (!found->second.reachable) {
        return core::make_error(absl::StatusCode::kUnavailable,
                                {.step = "send_to_peer", .peer = peer}, "peer is unreachable");
    }
    return send_envelope(found->second, envelope_kind::data, body);
}

std::vector<std::string> peer_links::reachable_peers() const {
    std::vector<std::string> names;
    for (const auto& [name, peer] : links_) {
        if (peer.reachable) {
            names.push_back(name);
        }
    }
    return names;
}

bool peer_links::is_reachable(std::string_view peer) const {
    const auto found = links_.find(peer);
    return found != links_.end() && found->second.reachable;
}

void peer_links::receive_pending() {
    for (int count = 0; count < detail::receive_batch_messages; ++count) {
        const auto message = listener_.receive();
        if (!message) {
            return;
        }
        handle_message(message->pipe(), message->body());
    }
}

void peer_links::handle_message(std::uint32_t pipe, std::string_view bytes) {
    const auto envelope = wire::decode<peer_envelope>(bytes);
    const auto now = core::ms_clock::now();
    pipe_last_heard_[pipe] = now;
    ++counters_.messages_received;
    auto* const sender = envelope.ok() ? find_or_add_sender(envelope->sender) : nullptr;
    if (sender == nullptr) {
        // The sender is not allowed to link to this process, or the message is malformed.
        ++counters_.malformed;
        detail::close_pipe(pipe);
        return;
    }
    auto& sender_link = *sender;
    if (!accept(sender_link, *envelope)) {
        return;
    }
    sender_link.last_heard = now;
    if (!std::exchange(sender_link.reachable, true)) {
        on_state_(envelope->sender, link_change::reachable);
    }
    const bool is_unheard_ping = envelope->kind == envelope_kind::unheard_ping;
    if (is_unheard_ping && now - sender_link.last_replaced > self_.silent_after) {
        // Messages to the peer no longer arrive, which only the peer can detect.
        replace_socket(sender_link, now);
        ++counters_.links_replaced;
    }
    if ((is_unheard_ping || envelope->kind == envelope_kind::ping) && self_.answer_pings) {
        // A lost pong is harmless, because the next ping requests another one.
        (void)send_envelope(sender_link, envelope_kind::pong, {});
    } else if (envelope->kind == envelope_kind::data) {
        if (is_current(sender_link, *envelope)) {
            on_message_(envelope->sender, envelope->incarnation, envelope->body);
        } else {
            ++counters_.outdated;
        }
    }
}

bool peer_links::accept(link& sender_link, const peer_envelope& envelope) {
    const auto verdict = sender_link.received.check({.incarnation = envelope.incarnation,
                                                     .session = envelope.session,
                                                     .sequence = envelope.sequence},
                                                    envelope.kind == envelope_kind::data);
    if (verdict == stream_verdict::outdated) {
        ++counters_.outdated;
        return false;
    }
    sender_link.heard_incarnation = envelope.incarnation;
    sender_link.heard_session = envelope.session;
    if (verdict == stream_verdict::in_order || !sender_link.reachable) {
        return true;
    }
    ++counters_.interrupted;
    if (verdict == stream_verdict::restarted) {
        lose(sender_link, envelope.sender);
        return true;
    }
    if (verdict == stream_verdict::gap) {
        // A peer that has resumed knows of the loss; a new session would interrupt it again.
        start_session(sender_link);
    }
    on_state_(envelope.sender, link_change::interrupted);
    return true;
}

bool peer_links::is_current(const link& sender_link, const peer_envelope& envelope) const {
    return envelope.heard_incarnation == self_.incarnation &&
           envelope.heard_session == sender_link.session;
}

void peer_links::start_session(link& peer_link) {
    ++peer_link.session;
    peer_link.sequence = 0;
}

void peer_links::lose(link& peer_link, std::string_view name) {
    peer_link.reachable = false;
    start_session(peer_link);
    on_state_(name, link_change::unreachable);
}

peer_links::link* peer_links::find_or_add_sender(std::string_view name) {
    auto found = links_.find(name);
    if (found == links_.end() && self_.accept_unlisted && parse_socket_address(name).ok()) {
        add({.name = std::string{name}, .address = std::string{name}});
        found = links_.find(name);
    }
    return found == links_.end() ? nullptr : &found->second;
}

void peer_links::check_liveness() {
    const auto now = core::ms_clock::now();
    for (auto& [name, peer_link] : links_) {
        const bool silent = now - peer_link.last_heard > self_.silent_after;
        if (silent && peer_link.reachable) {
            peer_link.received.reset();
            lose(peer_link, name);
        }
        // The first connection attempt is lost if the peer's machine is still starting, and TCP
        // retransmits it only after a second.
        const auto redial_interval =
            peer_link.last_heard == core::time_ms{} ? self_.ping_every : self_.silent_after;
        if (silent && now - peer_link.last_replaced > redial_interval) {
            replace_socket(peer_link, now);
            ++counters_.links_replaced;
        }
        if (self_.answer_pings || now - peer_link.last_sent >= self_.ping_every) {
            const auto kind = silent ? envelope_kind::unheard_ping : envelope_kind::ping;
            (void)send_envelope(peer_link, kind, {});
        }
    }
    close_silent_pipes(now);
}

void peer_links::close_silent_pipes(core::time_ms now) {
    std::erase_if(pipe_last_heard_, [&](const auto& entry) {
        const bool silent = now - entry.second > detail::pipe_silence_limit;
        if (silent) {
            detail::close_pipe(entry.first);
        }
        return silent;
    });
}

void peer_links::replace_socket(link& peer_link, core::time_ms now) {
    // The socket is replaced, not just the connection, because messages queued for the old
    // connection must not arrive long after their senders have given up on them.
    if (peer_link.socket != nullptr && !peer_link.socket->close()) {
        ++counters_.sockets_not_closed;
    }
    peer_link.socket = std::make_unique<detail::nng_socket_handle>();
    peer_link.last_replaced = now;
    (void)peer_link.socket->dial_push(peer_link.address);
}

absl::Status peer_links::send_envelope(link& peer_link, envelope_kind kind, std::string_view body) {
    // A data message that cannot be queued is counted too, so that the peer notices its loss.
    peer_link.sequence += kind == envelope_kind::data ? 1 : 0;
    const auto bytes = wire::encode(peer_envelope{.sender = self_.name,
                                                  .incarnation = self_.incarnation,
                                                  .kind = kind,
                                                  .body = std::string{body},
                                                  .session = peer_link.session,
                                                  .sequence = peer_link.sequence,
                                                  .heard_incarnation = peer_link.heard_incarnation,
                                                  .heard_session = peer_link.heard_session});
    auto status = peer_link.socket->send(bytes);
    if (status.ok()) {
        peer_link.last_sent = core::ms_clock::now();
        ++counters_.messages_sent;
        counters_.bytes_sent += bytes.size();
        counters_.control_bytes_sent += kind == envelope_kind::data ? 0 : bytes.size();
    }
    return status;
}

} // namespace hawthornstall::net
