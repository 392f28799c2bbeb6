#include "hawthornstall/net/peer_links.hpp"

#include "hawthornstall/core/error.hpp"
#include "hawthornstall/net/socket_address.hpp"
#include "hawthornstall/wire/codec.hpp"

#include <utility>

namespace hawthornstall::net {
namespace detail {

/// A live peer sends a message on its connection at least every second ping interval, 1 s at most.
/// A connection without messages for this long has been abandoned by the peer and is closed.
constexpr core::duration_ms connection_silence_limit{5000};

/// Pings are sent this long after a multiple of their interval. Timers may fire early by a tick of
/// the kernel's coarse clock, 4 ms, and the ping would be one interval too early.
constexpr core::duration_ms ping_phase{5};

/// Most links, listed or not. The largest deployment has a hundred hosts; beyond this number no
/// unlisted sender is linked to, so that forged names do not use up the memory.
constexpr std::size_t max_links = 1'024;

} // namespace detail

peer_links::peer_links(runtime::event_loop& loop, identity self, message_handler on_message,
                       state_handler on_state)
    : loop_(loop), self_(std::move(self)), on_message_(std::move(on_message)),
      on_state_(std::move(on_state)), listener_(
                                          loop,
                                          [this](std::uint64_t connection, std::string_view bytes) {
                                              return handle_message(connection, bytes);
                                          },
                                          self_.max_unknown_bytes) {}

absl::Status peer_links::start(std::span<const peer_endpoint> peers) {
    if (auto status = listener_.start(self_.listen_address); !status.ok()) {
        return status;
    }
    for (const auto& peer : peers) {
        add(peer);
    }
    // Pings are sent shortly after multiples of the interval on the wall clock. Processes with
    // synchronised clocks thus ping at the same times, and the pings of many peers are read in one
    // iteration of the event loop.
    loop_.refresh_time();
    const auto since_last_multiple =
        core::ms_clock::wall_now().time_since_epoch() % self_.ping_every;
    const auto delay = self_.ping_every - since_last_multiple + detail::ping_phase;
    first_ping_event_ = loop_.after(delay, [this] {
        ping_event_ = loop_.every(self_.ping_every, [this] { check_liveness(); });
        check_liveness();
    });
    return absl::OkStatus();
}

void peer_links::add(const peer_endpoint& peer) {
    if (peer.name == self_.name || links_.contains(peer.name)) {
        return;
    }
    auto& added =
        links_.try_emplace(peer.name, loop_, peer.address, self_.incarnation).first->second;
    replace_connection(added, core::ms_clock::now());
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
    if (!found->second.state.reachable()) {
        return core::make_error(absl::StatusCode::kUnavailable,
                                {.step = "send_to_peer", .peer = peer}, "peer is unreachable");
    }
    return send_envelope(found->second, envelope_kind::data, body);
}

std::vector<std::string> peer_links::reachable_peers() const {
    std::vector<std::string> names;
    for (const auto& [name, peer] : links_) {
        if (peer.state.reachable()) {
            names.push_back(name);
        }
    }
    return names;
}

bool peer_links::is_reachable(std::string_view peer) const {
    const auto found = links_.find(peer);
    return found != links_.end() && found->second.state.reachable();
}

link_condition peer_links::condition(std::string_view peer) const {
    const auto found = links_.find(peer);
    if (found == links_.end()) {
        return {};
    }
    const auto& peer_link = found->second;
    return {.silence = core::ms_clock::now() - peer_link.state.last_activity(),
            .queued_bytes = peer_link.dialer.queued_bytes()};
}

sign_of_life peer_links::last_sign_of_life(std::string_view peer) const {
    const auto found = links_.find(peer);
    return found == links_.end() ? sign_of_life{} : found->second.state.last_sign_of_life();
}

bool peer_links::handle_message(std::uint64_t connection, std::string_view bytes) {
    auto envelope = wire::decode<peer_envelope>(bytes);
    const auto now = core::ms_clock::now();
    ++counters_.messages_received;
    counters_.bytes_received += bytes.size();
    const bool has_sender = envelope.ok() && complete_sender(connection, *envelope);
    auto* const sender = has_sender ? find_or_add_sender(envelope->sender) : nullptr;
    if (sender == nullptr) {
        // The sender is not allowed to link to this process, or the message is malformed.
        ++counters_.malformed;
        return false;
    }
    senders_[connection] = {envelope->sender, envelope->incarnation};
    auto& sender_link = *sender;
    const auto received = sender_link.state.receive(*envelope, connection, now);
    if (!received.accepted) {
        ++counters_.outdated;
        return true;
    }
    report_changes(envelope->sender, received);
    const bool is_unheard_ping = envelope->kind == envelope_kind::unheard_ping;
    if (is_unheard_ping && now - sender_link.last_replaced > self_.silent_after) {
        // Messages to the peer no longer arrive, which only the peer can detect.
        replace_connection(sender_link, now);
        ++counters_.links_replaced;
    }
    if ((is_unheard_ping || envelope->kind == envelope_kind::ping) && self_.answer_pings) {
        // A lost pong is harmless, because the next ping requests another one.
        (void)send_envelope(sender_link, envelope_kind::pong, {});
    } else if (envelope->kind == envelope_kind::data) {
        if (received.is_current) {
            on_message_(envelope->sender, envelope->incarnation, envelope->body);
        } else {
            ++counters_.outdated;
        }
    }
    return true;
}

bool peer_links::complete_sender(std::uint64_t connection, peer_envelope& envelope) {
    const auto known = senders_.find(connection);
    if (!envelope.sender.empty()) {
        // A connection has one sender, so that forged names cost a connection each.
        return known == senders_.end() || known->second.name == envelope.sender;
    }
    if (known == senders_.end()) {
        return false;
    }
    envelope.sender = known->second.name;
    envelope.incarnation = known->second.incarnation;
    return true;
}

void peer_links::report_changes(std::string_view peer, const reception& received) {
    const bool was_reachable =
        !received.changes.empty() && received.changes.front() != link_change::reachable;
    counters_.interrupted += was_reachable ? 1 : 0;
    for (const auto change : received.changes) {
        on_state_(peer, change);
    }
}

peer_links::link* peer_links::find_or_add_sender(std::string_view name) {
    auto found = links_.find(name);
    if (found == links_.end() && self_.accept_unlisted && links_.size() < detail::max_links &&
        parse_socket_address(name).ok()) {
        add({.name = std::string{name}, .address = std::string{name}});
        found = links_.find(name);
    }
    return found == links_.end() ? nullptr : &found->second;
}

void peer_links::note_partial_messages() {
    for (const auto& [connection, sender] : senders_) {
        if (const auto found = links_.find(sender.name); found != links_.end()) {
            found->second.state.receive_bytes(connection, listener_.last_read(connection));
        }
    }
}

void peer_links::check_liveness() {
    const auto now = core::ms_clock::now();
    note_partial_messages();
    for (auto& [name, peer_link] : links_) {
        const auto last_activity = peer_link.state.last_activity();
        const bool silent = now - last_activity > self_.silent_after;
        if (peer_link.state.lose_if_silent(self_.silent_after, now)) {
            on_state_(name, link_change::unreachable);
        }
        // The first connection attempt is lost if the peer's machine is still starting, and TCP
        // retransmits it only after a second.
        const auto redial_interval =
            last_activity == core::time_ms{} ? self_.ping_every : self_.silent_after;
        if (silent && now - peer_link.last_replaced > redial_interval) {
            replace_connection(peer_link, now);
            ++counters_.links_replaced;
        }
        if (self_.answer_pings || now - peer_link.last_sent >= self_.ping_every) {
            const auto kind = silent ? envelope_kind::unheard_ping : envelope_kind::ping;
            (void)send_envelope(peer_link, kind, {});
        }
    }
    listener_.close_silent(detail::connection_silence_limit, now);
    std::erase_if(senders_, [&](const auto& item) { return !listener_.is_open(item.first); });
}

void peer_links::replace_connection(link& peer_link, core::time_ms now) {
    peer_link.last_replaced = now;
    peer_link.dialer.replace_connection();
}

absl::Status peer_links::send_envelope(link& peer_link, envelope_kind kind, std::string_view body) {
    // A data message that cannot be queued is counted too, so that the peer notices its loss.
    const auto now = core::ms_clock::now();
    auto envelope = peer_link.state.next_envelope(self_.name, kind, body, now);
    if (!peer_link.dialer.starts_connection()) {
        envelope.sender.clear();
        envelope.incarnation = 0;
    }
    const auto bytes = wire::encode(envelope);
    auto status = peer_link.dialer.send(bytes);
    if (status.ok()) {
        peer_link.last_sent = now;
        ++counters_.messages_sent;
        counters_.bytes_sent += bytes.size();
        if (kind != envelope_kind::data) {
            ++counters_.pings_sent;
            counters_.control_bytes_sent += bytes.size();
        }
    }
    return status;
}

} // namespace hawthornstall::net
