#pragma once

/// Errors as absl::Status values that carry the processing step and the peer where they occurred.

#include <absl/status/status.h>

#include <string>
#include <string_view>

namespace hawthornstall::core {

/// Where an error occurred.
struct error_origin {
    std::string_view step; ///< Name of the processing step.
    std::string_view peer; ///< Process or target involved; empty for a local error.
};

/// Returns a status that carries `origin` in its payloads.
[[nodiscard]] absl::Status make_error(absl::StatusCode code, error_origin origin,
                                      std::string_view message);

/// Returns the step that `status` carries, empty when there is none.
[[nodiscard]] std::string step_of(const absl::Status& status);

/// Returns the peer that `status` carries, empty when there is none.
[[nodiscard]] std::string peer_of(const absl::Status& status);

/// Formats code, message, step and peer as one line for an operator.
[[nodiscard]] std::string describe(const absl::Status& status);

/// Converts to absl::string_view, which the packaged Abseil does not alias to std::string_view.
[[nodiscard]] inline absl::string_view to_absl(std::string_view text) noexcept {
    return {text.data(), text.size()};
}

} // namespace hawthornstall::core
