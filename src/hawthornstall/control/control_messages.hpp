#pragma once

/// Everything that one control host sends to another.

#include "hawthornstall/control/consensus_messages.hpp"
#include "hawthornstall/control/entry_messages.hpp"

#include <string>
#include <variant>

namespace hawthornstall::control {

/// A request of an entry host that only the leader can answer.
struct forwarded_request {
    std::string entry_host;
    std::variant<edit_request, audit_request, numbered_request, numbered_read> request;
};

/// The leader's reply, for the entry host whose request was forwarded.
struct forwarded_reply {
    std::string entry_host;
    std::variant<edit_reply, audit_reply, numbered_state> reply;
};

/// The order of the alternatives is part of the wire format: new ones go to the end.
using control_to_control = std::variant<peer_message, forwarded_request, forwarded_reply>;

} // namespace hawthornstall::control
