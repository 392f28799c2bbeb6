#pragma once

/// JSON form of credentials, in the settings themselves and in a file of their own.

#include "hawthornstall/settings/credentials.hpp"
#include "hawthornstall/settings/object_checker.hpp"

#include <absl/status/statusor.h>

#include <string_view>
#include <vector>

namespace hawthornstall::settings {

/// Reads the array "tokens" of `fields`: objects with "name", "role", "team" and either "token" or
/// "token_sha256" (64 hexadecimal digits). Error messages do not
/// contain the tokens and digests.
[[nodiscard]] std::vector<credential> read_credentials(object_checker& fields, presence need);

/// Parses a tokens file: an object whose only key is "tokens".
[[nodiscard]] absl::StatusOr<std::vector<credential>> parse_credentials(std::string_view text);

} // namespace hawthornstall::settings
