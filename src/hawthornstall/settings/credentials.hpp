#pragma once

/// Bearer tokens of callers, teams and operators. Only digests are kept, so that a token cannot
/// appear in a log, a metric or a dump of the settings.

#include <array>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace hawthornstall::settings {

/// What a principal may do.
enum class role : std::uint8_t {
    caller,       ///< Submits work.
    team,         ///< Edits the documents of its team.
    site_operator ///< Reads everything, and administers the system.
};

/// Names of the roles in settings, indexed by role.
inline constexpr std::array<std::string_view, 3> role_names{"caller", "team", "operator"};

/// SHA-256 digest.
using token_digest = std::array<std::uint8_t, 32>;

/// Digest of `token`. Throws std::runtime_error when OpenSSL provides no SHA-256.
[[nodiscard]] token_digest digest_of(std::string_view token);

/// Identity that a token authenticates.
struct principal {
    std::string name;
    role kind = role::caller;
    std::string team; ///< Empty for operators.

    bool operator==(const principal&) const = default;
};

/// A principal and the digest of its token.
struct credential {
    principal identity;
    token_digest digest{};

    bool operator==(const credential&) const = default;
};

/// Principal with `token`, or nullptr when no credential matches. The duration depends on the
/// number of credentials only: every digest is compared in constant time, also after a match.
[[nodiscard]] const principal* find_by_token(std::span<const credential> credentials,
                                             std::string_view token);

} // namespace hawthornstall::settings
