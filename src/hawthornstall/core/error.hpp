#pragma once

/// Errors are absl::Status values that carry the step and the peer at which they arose.

#include <absl/status/status.h>

#include <string>
#include <string_view>

namespace hawthornstall::core {

/// Where an error arose: the processing step and the peer involved (empty when local).
struct error_origin {
    std::string_view step;
    std::string_view peer;
};

/// Builds a status whose payloads hold `origin`.
[[nodiscard]] absl::Status make_error(absl::StatusCode code, error_origin origin,
                                      std::string_view message);

/// Step recorded in `status`, empty when none is recorded.
[[nodiscard]] std::string step_of(const absl::Status& status);

/// Peer recorded in `status`, empty when none is recorded.
[[nodiscard]] std::string peer_of(const absl::Status& status);

/// One line for people: code, message, step and peer.
[[nodiscard]] std::string describe(const absl::Status& status);

/// View of a std::string_view as Abseil's own type; the packaged Abseil does not alias them.
[[nodiscard]] inline absl::string_view to_absl(std::string_view text) noexcept {
    return {text.data(), text.size()};
}

} // namespace hawthornstall::core
