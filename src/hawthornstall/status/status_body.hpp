#pragma once

/// JSON form of the state that a process reports to operators. docs/OPERATIONS.md lists the fields.

#include "hawthornstall/status/status_rows.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace hawthornstall::status {

/// Kind of rows served at `path`; empty for an unknown path.
[[nodiscard]] std::optional<status_kind> kind_of(std::string_view path) noexcept;

/// Encodes the rows as a JSON array of objects.
[[nodiscard]] std::string encode_rows(const status_rows& rows);

} // namespace hawthornstall::status
