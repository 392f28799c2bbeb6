#pragma once

/// HTTP status codes for outcome classes and errors.

#include "hawthornstall/core/outcome.hpp"

#include <absl/status/status.h>

namespace hawthornstall::http {

/// 200 answered, 503 refused_not_run, 502 failed, 504 may_have_run. The class is also in the body.
[[nodiscard]] int status_of(core::outcome_class outcome) noexcept;

/// Status of an error: 400, 401, 403, 404, 409 (a document has changed meanwhile), 413 or 429 when
/// the caller must change something, 504 when the request may have run, otherwise 503.
[[nodiscard]] int status_of(const absl::Status& error) noexcept;

} // namespace hawthornstall::http
