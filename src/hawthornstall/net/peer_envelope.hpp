#pragma once

/// Message format of a link between two of the system's processes.

#include "hawthornstall/core/ms_clock.hpp"
#include "hawthornstall/wire/layout.hpp"

#include <cstdint>
#include <string>

namespace hawthornstall::net {

/// Purpose of an envelope.
enum class envelope_kind : std::uint8_t {
    ping,         ///< Liveness check; the receiver answers with a pong.
    pong,         ///< Answer to a ping.
    data,         ///< Application message in `body`.
    unheard_ping, ///< A ping whose sender currently receives nothing from the peer.
};

/// One message on a link.
struct peer_envelope {
    /// Empty, as `incarnation` is 0, in all but the first envelope on a connection, which names the
    /// sender for the others.
    std::string sender;
    std::uint64_t incarnation = 0; ///< Start time of the sending process, wall-clock ms.
    envelope_kind kind = envelope_kind::ping;
    std::string body;
    std::uint64_t session = 0;  ///< How often the sender has lost the link to the receiver.
    std::uint64_t sequence = 0; ///< Number of data messages sent in this session, with this one.
    std::uint64_t heard_incarnation = 0; ///< Of the receiver, as the sender last heard it.
    std::uint64_t heard_session = 0;     ///< Of the receiver, as the sender last heard it.
    core::time_ms sent_at{};             ///< On the sender's steady clock.
    /// `sent_at` of the last envelope that the sender has received from the receiver.
    core::time_ms heard_sent_at{};
    core::time_ms heard_at{}; ///< When the sender received it, on the sender's steady clock.
};

} // namespace hawthornstall::net

namespace hawthornstall::wire {

template <> struct layout<net::envelope_kind> {
    static constexpr auto last = net::envelope_kind::unheard_ping;
};

template <> struct layout<net::peer_envelope> {
    using type = net::peer_envelope;
    static constexpr auto members = std::tuple{&type::sender,
                                               &type::incarnation,
                                               &type::kind,
                                               &type::body,
                                               &type::session,
                                               &type::sequence,
                                               &type::heard_incarnation,
                                               &type::heard_session,
                                               &type::sent_at,
                                               &type::heard_sent_at,
                                               &type::heard_at};
};

} // namespace hawthornstall::wire
