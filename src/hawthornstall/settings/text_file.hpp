#pragma once

/// Reading of settings files.

#include <absl/status/statusor.h>

#include <string>
#include <string_view>

namespace hawthornstall::settings {

/// Contents of the file at `path`, at most max_document_bytes. The peer of an error is the path.
[[nodiscard]] absl::StatusOr<std::string> read_text_file(std::string_view path);

/// Resolves `file` relative to the folder that contains `path`; an absolute `file` is returned
/// unchanged.
[[nodiscard]] std::string resolve_relative_to(std::string_view path, std::string_view file);

} // namespace hawthornstall::settings
