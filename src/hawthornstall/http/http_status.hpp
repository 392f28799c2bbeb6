#pragma once

/// Mapping of outcome classes and errors to HTTP status codes.

#include "hawthornstall/core/outcome.hpp"

#include <absl/status/status.h>

namespace hawthornstall::http {

/// 200 for answered, 503 for refused_not_run, 502 for failed, 504 for may_have_run. The body
/// carries the class as well.
[[nodiscard]] int status_of(core::outcome_class outcome) noexcept;

/// Status of an error: 400, 401, 403, 404, 409 (the document was changed concurrently), 413 or 429
/// if the caller has to change its request or its rate, 504 if the request may have run, otherwise
/// 503.
[[nodiscard]] int status_of(const absl::Status& error) noexcept;

} // namespace hawthornstall::http
