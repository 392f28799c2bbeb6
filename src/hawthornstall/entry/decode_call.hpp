#pragma once

/// Second filter of the front end: from the body to a typed job.

#include "hawthornstall/entry/pipeline_calls.hpp"

#include <absl/status/statusor.h>

namespace hawthornstall::entry {

/// Decodes the body with the HTTP API's codec. Another front end replaces this filter only.
class decode_call {
public:
    [[nodiscard]] absl::StatusOr<decoded_call> operator()(const authenticated_call& call) const;
};

} // namespace hawthornstall::entry
