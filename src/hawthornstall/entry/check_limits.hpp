#pragma once

/// Fourth filter for calls: checks the call against the limits in the service's document.

#include "hawthornstall/entry/pipeline_calls.hpp"

#include <absl/status/statusor.h>

namespace hawthornstall::entry {

/// Refuses calls that exceed a limit and fills in the default deadline.
class check_limits {
public:
    [[nodiscard]] absl::StatusOr<decoded_call> operator()(resolved_call resolved) const;
};

} // namespace hawthornstall::entry
