#pragma once

/// Everything that one entry host sends to another.

#include "hawthornstall/core/target.hpp"
#include "hawthornstall/entry/forward_messages.hpp"
#include "hawthornstall/entry/ownership_notice.hpp"
#include "hawthornstall/journal/messages.hpp"

#include <variant>

namespace hawthornstall::entry {

/// News of a target of the sender's zone.
struct target_update {
    core::target_announcement announcement;
};

/// The order of the alternatives is part of the wire format: new ones go to the end.
using peer_message = std::variant<forward_job, job_done, not_owner, ownership_notice,
                                  journal::owner_message, journal::replica_message, target_update>;

} // namespace hawthornstall::entry
