#pragma once

/// The latest documents of an entry host, kept in its data folder. A host that restarts while no
/// control host answers can serve with them, and never goes back to an older version of a document
/// than it has saved.

#include "hawthornstall/control/document_messages.hpp"

#include <absl/status/statusor.h>

#include <optional>
#include <string>

namespace hawthornstall::entry {

/// Replaces the saved documents. They are durable when the function returns OK.
[[nodiscard]] absl::Status save_documents(const std::string& folder,
                                          const control::config_delta& documents);

/// The saved documents; empty when none were saved, kDataLoss when the file is damaged.
[[nodiscard]] absl::StatusOr<std::optional<control::config_delta>>
load_documents(const std::string& folder);

} // namespace hawthornstall::entry
