#pragma once

/// Bounds the sending time of a peer's messages on the local clock, without synchronised clocks.

#include "hawthornstall/membership/messages.hpp"

#include <cstdint>
#include <optional>

namespace hawthornstall::membership {

/// Longest echo age that is used. With clock rates that differ by 0.5 %, the error is then at most
/// 15 ms, which the margin of lease_margin_divisor covers.
constexpr core::duration_ms max_echo_age{3000};

/// Exchange of clock samples with one peer. Each message echoes the latest sending time that came
/// from its receiver, and how long ago it arrived. The message was therefore sent no earlier than
/// that time plus that age on the receiver's clock, whatever the delays were. The bound is too
/// early by the delay of the echoed message.
class clock_echo {
public:
    /// `incarnation` is that of the local host. Echoes of an earlier one refer to another clock and
    /// are ignored.
    explicit clock_echo(std::uint64_t incarnation) : incarnation_(incarnation) {}

    /// Sample for a message to the peer.
    [[nodiscard]] clock_sample sample(core::time_ms now) const;

    /// Handles the sample in a message from the peer. Returns the earliest local time at which the
    /// message may have been sent, or nothing if the sample gives no bound.
    [[nodiscard]] std::optional<core::time_ms>
    receive(const clock_sample& sample, std::uint64_t peer_incarnation, core::time_ms now);

private:
    std::uint64_t incarnation_;
    std::uint64_t peer_incarnation_ = 0;
    core::time_ms peer_sent_at_{};
    core::time_ms received_at_{};
    bool has_sample_ = false; ///< Whether a sample of the peer has arrived.
};

} // namespace hawthornstall::membership
