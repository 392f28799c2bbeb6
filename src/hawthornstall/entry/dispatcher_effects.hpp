#pragma once

/// Effects that the dispatcher asks its loop task to carry out through the other loop tasks.

#include "hawthornstall/entry/dispatcher_messages.hpp"

#include <cstddef>
#include <variant>
#include <vector>

namespace hawthornstall::entry {

/// Post `message` to one front end.
struct send_to_front_end {
    std::size_t front_end = 0;
    front_message message;
};

/// Post `documents` to all front ends.
struct publish_documents {
    documents_changed documents;
};

/// A message to another process, a task start at a target, or a message to the front ends.
using dispatcher_effect =
    std::variant<outgoing_message, start_order, send_to_front_end, publish_documents>;
using dispatcher_effects = std::vector<dispatcher_effect>;

} // namespace hawthornstall::entry
