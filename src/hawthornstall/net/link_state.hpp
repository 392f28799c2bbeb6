#pragma once

/// State of the link with one peer, independent of its connections: whether the peer is reachable,
/// whether messages were lost, and when the peer certainly was alive. Does no I/O.

#include "hawthornstall/core/ms_clock.hpp"
#include "hawthornstall/net/peer_envelope.hpp"
#include "hawthornstall/net/stream_check.hpp"

#include <algorithm>
#include <concepts>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace hawthornstall::net {

/// A change of a link.
enum class link_change : std::uint8_t {
    reachable,   ///< The peer can be reached.
    unreachable, ///< The peer is silent, or it has restarted and lost its state.
    interrupted, ///< The peer is reachable, but messages to or from it were lost.
};

/// Calls `report` with whether the peer is reachable: an interruption is a loss and a return.
template <std::invocable<bool> Report> void report_reachability(link_change change, Report report) {
    if (change != link_change::reachable) {
        report(false);
    }
    if (change != link_change::unreachable) {
        report(true);
    }
}

/// A time at which a peer certainly was alive, on both clocks.
struct sign_of_life {
    core::time_ms at{};        ///< On this process's clock; the peer was alive then or later.
    core::time_ms peer_time{}; ///< On the peer's clock.
};

/// What a link looks like at the moment, to explain why it was given up.
struct link_condition {
    core::duration_ms silence{};  ///< Time since the last message of the peer.
    std::size_t queued_bytes = 0; ///< For the peer, not yet taken by the system.
};

/// The condition of a link for a log line. A short silence means that the peer has restarted or has
/// given up the link itself; queued bytes mean that pings wait behind other messages.
[[nodiscard]] std::string describe(const link_condition& condition);

/// What a received envelope means.
struct reception {
    bool accepted = false; ///< False for late envelopes, which must be ignored.
    /// Whether the sender knew of all losses of the link that this process has reported. Work that
    /// an earlier message asks for has been given up.
    bool is_current = false;
    std::vector<link_change> changes{}; ///< Changes of the link, in order; mostly none.
};

/// The end of a link in one process. Both ends learn of a loss: a process that drops its share of
/// some joint work because it lost a peer relies on the peer to do the same.
class link_state {
public:
    /// `incarnation` is that of this process.
    explicit link_state(std::uint64_t incarnation) : incarnation_(incarnation) {}

    /// Takes an envelope of the peer that arrived on `connection`. Connections that are accepted
    /// later have larger numbers.
    [[nodiscard]] reception receive(const peer_envelope& envelope, std::uint64_t connection,
                                    core::time_ms now);

    /// The envelope that carries `body` to the peer, as the next message of this end.
    [[nodiscard]] peer_envelope next_envelope(std::string_view sender, envelope_kind kind,
                                              std::string_view body, core::time_ms now);

    /// Bytes of an incomplete message have arrived on `connection`. They count as activity of the
    /// peer: pings wait behind a message that takes longer on its link than the silence limit.
    void receive_bytes(std::uint64_t connection, core::time_ms at) noexcept;

    /// Counts the peer as lost if it is reachable but has been silent for longer than `limit`.
    /// Returns whether it was lost.
    [[nodiscard]] bool lose_if_silent(core::duration_ms limit, core::time_ms now);

    [[nodiscard]] bool reachable() const noexcept { return reachable_; }

    /// When an envelope of the peer was last accepted; the epoch of the clock if never.
    [[nodiscard]] core::time_ms last_heard() const noexcept { return last_heard_; }

    /// When an envelope, or a part of one on the same connection, last arrived.
    [[nodiscard]] core::time_ms last_activity() const noexcept {
        return std::max(last_heard_, last_bytes_);
    }

    /// The latest sign of life of the peer's present process; the epochs of the clocks while the
    /// peer has not heard this process. An envelope can arrive long after its sender has ended, so
    /// its arrival is no proof. The proof is the time at which this process sent the envelope that
    /// the peer names as heard, and the time that the peer has measured since.
    [[nodiscard]] const sign_of_life& last_sign_of_life() const noexcept { return alive_; }

private:
    void start_session() noexcept;
    void lose() noexcept;
    void handle_verdict(stream_verdict verdict, reception& result);
    void update_sign_of_life(const peer_envelope& envelope, core::time_ms now);

    std::uint64_t incarnation_;
    std::uint64_t session_ = 0;  ///< How often this process has lost the link.
    std::uint64_t sequence_ = 0; ///< Data messages sent in this session.
    stream_check received_;
    bool reachable_ = false;
    core::time_ms last_heard_{};
    core::time_ms last_bytes_{};
    std::uint64_t heard_connection_ = 0;  ///< Latest one that carried an accepted envelope.
    std::uint64_t heard_incarnation_ = 0; ///< Of the last accepted envelope.
    std::uint64_t heard_session_ = 0;     ///< Of the last accepted envelope.
    core::time_ms heard_sent_at_{};       ///< Of the last accepted envelope.
    sign_of_life alive_;
};

} // namespace hawthornstall::net
