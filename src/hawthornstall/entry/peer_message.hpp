#pragma once

/// The messages between entry hosts.

#include "hawthornstall/entry/forward_messages.hpp"
#include "hawthornstall/entry/ownership_notice.hpp"
#include "hawthornstall/journal/messages.hpp"
#include "hawthornstall/membership/messages.hpp"

#include <variant>

namespace hawthornstall::entry {

/// Any message from one entry host to another. The order of the alternatives is part of the wire
/// format: new ones go to the end.
using peer_message =
    std::variant<forward_job, job_done, not_owner, ownership_notice, journal::owner_message,
                 journal::replica_message, membership::message>;

} // namespace hawthornstall::entry
