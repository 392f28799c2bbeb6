#pragma once

/// Outcomes of requests and tasks as callers see them.

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace hawthornstall::core {

/// How a request or a task ended, and thereby whether the caller can safely repeat it.
enum class outcome_class : std::uint8_t {
    answered,        ///< The complete answer is present.
    refused_not_run, ///< Refused; no task of it has run or will run.
    failed,          ///< Started and ended in a definite failure.
    may_have_run,    ///< Unknown whether it ran; it is not run again.
};

/// Returns the name used in the HTTP API, for example "refused_not_run".
[[nodiscard]] std::string_view to_string(outcome_class outcome) noexcept;

/// Inverse of to_string(); empty for an unknown name.
[[nodiscard]] std::optional<outcome_class> parse_outcome(std::string_view name) noexcept;

/// Result of one task.
struct task_outcome {
    outcome_class outcome = outcome_class::refused_not_run;
    std::string body;   ///< Answer of the target; empty unless answered.
    std::string reason; ///< Why there is no answer.

    bool operator==(const task_outcome&) const = default;
};

} // namespace hawthornstall::core
