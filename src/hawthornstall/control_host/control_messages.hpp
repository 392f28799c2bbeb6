#pragma once

/// Messages between control hosts.

#include "hawthornstall/control/consensus_messages.hpp"
#include "hawthornstall/control/entry_messages.hpp"

#include <variant>

namespace hawthornstall::control_host {

/// An edit on its way to the leader. `number` belongs to the forwarding control host.
struct forwarded_edit {
    std::uint64_t number = 0;
    control::edit_command edit;
};

/// End of a forwarded edit.
struct forwarded_answer {
    std::uint64_t number = 0;
    std::optional<control::edit_answer> answer;
};

/// The order of the alternatives is part of the wire format.
using control_to_control = std::variant<control::peer_message, forwarded_edit, forwarded_answer>;

} // namespace hawthornstall::control_host
