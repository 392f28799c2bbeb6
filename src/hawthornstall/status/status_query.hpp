#pragma once

/// Question about the state of a task, and its answer.

#include "hawthornstall/status/status_rows.hpp"

#include <cstdint>
#include <functional>

namespace hawthornstall::status {

struct status_answer {
    std::uint64_t number = 0; ///< Of the query.
    status_rows rows{};
};

/// Sent to the task that owns the state, which calls `reply` on its own thread.
struct status_query {
    std::uint64_t number = 0;
    status_kind kind = status_kind::hosts;
    std::function<void(status_answer)> reply{};
};

} // namespace hawthornstall::status
