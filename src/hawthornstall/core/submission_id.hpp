#pragma once

/// Identifiers of submissions in the textual form `<zone>.<generation>.<issued_ms>.<key>`.

#include "hawthornstall/core/ms_clock.hpp"

#include <absl/status/statusor.h>

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace hawthornstall::core {

/// Longest accepted textual form in characters.
constexpr std::size_t max_submission_id_length = 200;

/// Identifies one submission, so that a resubmission is recognised and not run twice. Names its
/// home zone, whose owner handles it, and the generation of the journal that records it.
struct submission_id {
    std::string zone;
    std::uint64_t generation = 0;
    time_ms issued{}; ///< Wall-clock time of issue.
    std::string key;  ///< Chosen by the caller, or random.

    auto operator<=>(const submission_id&) const = default;
};

/// Parses the textual form. The error states which rule `text` breaks.
[[nodiscard]] absl::StatusOr<submission_id> parse_submission_id(std::string_view text);

/// Returns the textual form; the inverse of parse_submission_id().
[[nodiscard]] std::string to_string(const submission_id& id);

} // namespace hawthornstall::core
