#pragma once

/// Formatting of JSON answers as tables and indented text.

#include <absl/status/statusor.h>

#include <span>
#include <string>
#include <string_view>

namespace hawthornstall::ctl {

/// A table column: its title and the JSON field whose values it shows.
struct table_column {
    std::string_view title;
    const char* field;
    bool is_optional = false; ///< Left out when no row has the field.
};

/// Formats a JSON array of objects as a header line and one line per object. A missing field is
/// shown as "-". Control characters are replaced by "?", so that a value cannot send escape
/// sequences to the terminal. Returns an error when `json` is not an array of objects.
[[nodiscard]] absl::StatusOr<std::string> format_table(std::string_view json,
                                                       std::span<const table_column> columns);

/// Returns `json` indented over several lines, or unchanged when it cannot be parsed.
[[nodiscard]] std::string format_document(std::string_view json);

/// Returns the version field of a service document, or an empty string when it has none.
[[nodiscard]] std::string stated_version(std::string_view document);

} // namespace hawthornstall::ctl
