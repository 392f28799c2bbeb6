#pragma once

/// Encoding and decoding of the JSON bodies with which targets register and deregister.

#include "hawthornstall/core/target.hpp"

#include <absl/status/statusor.h>

#include <string>
#include <string_view>

namespace hawthornstall::http {

/// Reads `{"name":"…","incarnation":n,"sequence":n,"zone":"…","rack":"…","address":"ip:port",
/// "services":["…"],"capacity":{"slots":n,"connections":n,"cores":n,"memory_mb":n,
/// "accelerators":n},"lease_ms":n,"leaving":false}`. Rack, capacity numbers, lease and leaving may
/// be absent. Unknown fields are ignored because targets and entry hosts are upgraded separately.
[[nodiscard]] absl::StatusOr<core::target_announcement>
decode_target_announcement(std::string_view body);

/// Reads the body of `POST /v1/targets/leave`, which is the target's next announcement. The result
/// is always marked as leaving, regardless of the body.
[[nodiscard]] absl::StatusOr<core::target_announcement> decode_target_leave(std::string_view body);

/// Inverse of decode_target_announcement. Fails if a string is not UTF-8.
[[nodiscard]] absl::StatusOr<std::string>
encode_target_announcement(const core::target_announcement& announcement);

} // namespace hawthornstall::http
