#pragma once

/// Bounds the sending time of a peer's messages on the local clock, without synchronised clocks.

#include "hawthornstall/membership/messages.hpp"

#include <cstdint>
#include <optional>

namespace hawthornstall::membership {

/// Longest echo age that is used. Clock rates that differ by 0.5 % make an error of 15 ms then,
/// which lease_margin covers.
constexpr core::duration_ms max_echo_age{3000};

/// State towards one peer. Each message echoes the latest time that came from the receiver and how
/// long ago it came; it was therefore sent no earlier than that time plus that age on the
/// receiver's clock, whatever the delays. The bound is early by the delay of the echoed message.
class clock_echo {
public:
    /// `incarnation` is that of the local host; echoes of an earlier one are of another clock.
    explicit clock_echo(std::uint64_t incarnation) : incarnation_(incarnation) {}

    /// Sample for a message to the peer.
    [[nodiscard]] clock_sample sample(core::time_ms now) const;

    /// Takes the sample of a message from the peer. Returns the earliest time at which it may have
    /// been sent, or nothing when the message proves no bound.
    [[nodiscard]] std::optional<core::time_ms>
    receive(const clock_sample& sample, std::uint64_t peer_incarnation, core::time_ms now);

private:
    std::uint64_t incarnation_;
    std::uint64_t peer_incarnation_ = 0;
    core::time_ms peer_sent_at_{};
    core::time_ms received_at_{};
    bool heard_ = false;
};

} // namespace hawthornstall::membership
