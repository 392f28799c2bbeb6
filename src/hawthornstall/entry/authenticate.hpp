#pragma once

/// First filter of the front end: who sends this.

#include "hawthornstall/entry/pipeline_calls.hpp"

#include <absl/status/statusor.h>

#include <span>

namespace hawthornstall::entry {

/// Holder of the bearer token in an Authorization header; the error code is UNAUTHENTICATED.
[[nodiscard]] absl::StatusOr<settings::principal>
find_principal(std::span<const settings::credential> credentials, std::string_view authorization);

/// Admits holders of a caller's or a team's token.
class authenticate {
public:
    /// `credentials` must outlive the filter.
    explicit authenticate(std::span<const settings::credential> credentials)
        : credentials_(credentials) {}

    [[nodiscard]] absl::StatusOr<authenticated_call> operator()(const arrived_call& call) const;

private:
    std::span<const settings::credential> credentials_;
};

} // namespace hawthornstall::entry
