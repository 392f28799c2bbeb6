#pragma once

/// Second filter for calls: decodes the body into a job request.

#include "hawthornstall/entry/pipeline_calls.hpp"

#include <absl/status/statusor.h>

namespace hawthornstall::entry {

/// Decodes the body with the codec of the HTTP API. A front end for another protocol replaces only
/// this filter.
class decode_call {
public:
    [[nodiscard]] absl::StatusOr<decoded_call> operator()(const authenticated_call& call) const;
};

} // namespace hawthornstall::entry
