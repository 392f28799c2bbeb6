#pragma once

/// Submission identifiers: `<zone>.<generation>.<issued_ms>.<key>`.

#include "hawthornstall/core/ms_clock.hpp"

#include <absl/status/statusor.h>

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace hawthornstall::core {

/// Longest accepted identifier in characters.
constexpr std::size_t max_submission_id_length = 200;

/// Names a submission, its home zone and the journal generation that remembers it.
struct submission_id {
    std::string zone;
    std::uint64_t generation = 0;
    time_ms issued{}; ///< Wall-clock time of issue.
    std::string key;  ///< The caller's own key, or a random one.

    auto operator<=>(const submission_id&) const = default;
};

/// Parses the textual form; the error names the malformed part.
[[nodiscard]] absl::StatusOr<submission_id> parse_submission_id(std::string_view text);

/// Textual form; the inverse of parse_submission_id.
[[nodiscard]] std::string to_string(const submission_id& id);

} // namespace hawthornstall::core
