#pragma once

/// Fourth filter of the front end: whether the call keeps to the service's document.

#include "hawthornstall/entry/pipeline_calls.hpp"

#include <absl/status/statusor.h>

namespace hawthornstall::entry {

/// Refuses calls beyond the document's limits and fills in the default deadline.
class check_limits {
public:
    [[nodiscard]] absl::StatusOr<decoded_call> operator()(resolved_call resolved) const;
};

} // namespace hawthornstall::entry
