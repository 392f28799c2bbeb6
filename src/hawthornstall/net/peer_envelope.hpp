#pragma once

/// Message format of a link between two of the system's processes.

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
    std::string sender;
    std::uint64_t incarnation = 0; ///< Start time of the sending process, wall-clock ms.
    envelope_kind kind = envelope_kind::ping;
    std::string body;
    std::uint64_t session = 0;  ///< How often the sender has lost the link to the receiver.
    std::uint64_t sequence = 0; ///< Number of data messages sent in this session, with this one.
    std::uint64_t heard_incarnation = 0; ///< Of the receiver, as the sender last heard it.
    std::uint64_t heard_session = 0;     ///< Of the receiver, as the sender last heard it.
};

} // namespace hawthornstall::net

namespace hawthornstall::wire {

template <> struct layout<net::envelope_kind> {
    static constexpr auto last = net::envelope_kind::unheard_ping;
};

template <> struct layout<net::peer_envelope> {
    static constexpr auto members = std::tuple{&net::peer_envelope::sender,
                                               &net::peer_envelope::incarnation,
                                               &net::peer_envelope::kind,
                                               &net::peer_envelope::body,
                                               &net::peer_envelope::session,
                                               &net::peer_envelope::sequence,
                                               &net::peer_envelope::heard_incarnation,
                                               &net::peer_envelope::heard_session};
};

} // namespace hawthornstall::wire
