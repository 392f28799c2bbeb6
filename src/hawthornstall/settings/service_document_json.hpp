#pragma once

/// JSON form of the document that configures a service. Keys equal the member names of
/// core::service_document; durations are whole milliseconds under keys that end in "_ms".

#include "hawthornstall/core/service_document.hpp"

#include <absl/status/statusor.h>

#include <string>
#include <string_view>

namespace hawthornstall::settings {

/// Checks the document as a whole; the error lists every problem with its path. Only "service" and
/// "team" are required, everything else has the defaults of core::service_document.
[[nodiscard]] absl::StatusOr<core::service_document> parse_service_document(std::string_view text);

/// Inverse of parse_service_document: compact JSON with every key, in a stable order.
[[nodiscard]] std::string to_json(const core::service_document& document);

} // namespace hawthornstall::settings
