#pragma once

/// Messages between control hosts: the consensus protocol and forwarded requests.

#include "hawthornstall/control/consensus_messages.hpp"
#include "hawthornstall/control/entry_messages.hpp"

#include <string>
#include <variant>

namespace hawthornstall::control {

/// A request of an entry host that only the leader can answer.
struct forwarded_request {
    std::string entry_host;
    std::variant<edit_request, audit_request, numbered_config_put, numbered_config_read,
                 zone_drain_put>
        request;
};

/// The leader's reply, for the entry host whose request was forwarded.
struct forwarded_reply {
    std::string entry_host;
    std::variant<edit_reply, audit_reply, numbered_config_reply> reply;
};

/// Message from one control host to another. The order of the alternatives is part of the wire
/// format, so new ones must be added at the end.
using control_to_control = std::variant<peer_message, forwarded_request, forwarded_reply>;

} // namespace hawthornstall::control
