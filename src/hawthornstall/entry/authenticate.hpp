#pragma once

/// First filter for calls: authenticates the caller.

#include "hawthornstall/entry/pipeline_calls.hpp"

#include <absl/status/statusor.h>

#include <span>

namespace hawthornstall::entry {

/// Principal of the bearer token in an Authorization header, or an UNAUTHENTICATED error.
[[nodiscard]] absl::StatusOr<settings::principal>
find_principal(std::span<const settings::credential> credentials, std::string_view authorization);

/// Admits the tokens of callers and teams.
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
