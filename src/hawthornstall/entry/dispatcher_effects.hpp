#pragma once

/// What the dispatcher asks the other loop tasks of its host to do.

#include "hawthornstall/entry/dispatcher_messages.hpp"

#include <cstddef>
#include <variant>
#include <vector>

namespace hawthornstall::entry {

/// Hand `message` to one front end.
struct send_to_front_end {
    std::size_t front_end = 0;
    front_message message;
};

/// Hand `documents` to all front ends.
struct publish_documents {
    documents_changed documents;
};

using dispatcher_effect =
    std::variant<outgoing_message, start_order, send_to_front_end, publish_documents>;
using dispatcher_effects = std::vector<dispatcher_effect>;

} // namespace hawthornstall::entry
