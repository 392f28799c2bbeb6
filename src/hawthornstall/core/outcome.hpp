#pragma once

/// Outcome classes that a caller's program can tell apart.

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace hawthornstall::core {

/// How an accepted or refused request ended.
enum class outcome_class : std::uint8_t {
    answered,        ///< The whole answer is present.
    refused_not_run, ///< Refused; nothing of it ran or will run.
    failed,          ///< Ran or started, and ended in a definite failure.
    may_have_run,    ///< It is unknown whether it ran; it will not be run again.
};

/// Name used in the HTTP API, for example "refused_not_run".
[[nodiscard]] std::string_view to_string(outcome_class outcome) noexcept;

/// Inverse of to_string; empty for an unknown name.
[[nodiscard]] std::optional<outcome_class> parse_outcome(std::string_view name) noexcept;

/// Result of one task.
struct task_outcome {
    outcome_class outcome = outcome_class::refused_not_run;
    std::string body;   ///< Answer of the target when answered.
    std::string reason; ///< Why it was not answered.

    bool operator==(const task_outcome&) const = default;
};

} // namespace hawthornstall::core
