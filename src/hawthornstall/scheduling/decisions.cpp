#include "hawthornstall/scheduling/decisions.hpp"

namespace hawthornstall::scheduling {

std::string_view to_string(end_reason reason) noexcept {
    switch (reason) {
    case end_reason::none:
        return "";
    case end_reason::no_target_large_enough:
        return "no known target is large enough for a task of this service";
    case end_reason::queue_quota:
        return "the queue quota is used up";
    case end_reason::expected_wait:
        return "the expected wait exceeds the deadline";
    case end_reason::deadline:
        return "the deadline passed";
    case end_reason::cancelled:
        return "the caller cancelled the job";
    case end_reason::task_failed:
        return "a task failed";
    case end_reason::retry_budget:
        return "a task failed and the retry budget is spent";
    case end_reason::attempt_lost:
        return "contact to a target was lost while it ran a task";
    }
    return "";
}

} // namespace hawthornstall::scheduling
