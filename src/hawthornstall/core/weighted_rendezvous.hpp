#pragma once

/// Weighted rendezvous hashing.

#include <cstddef>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace hawthornstall::core {

/// A candidate for ownership and its relative share of the keys.
struct weighted_member {
    std::string name;
    double weight = 1.0; ///< Must be positive.
};

/// Returns the index of the member that owns `key`, empty when `members` is empty. All processes
/// with the same members agree on the owner, and a member that leaves moves only its own keys.
[[nodiscard]] std::optional<std::size_t> pick_owner(std::string_view key,
                                                    std::span<const weighted_member> members);

} // namespace hawthornstall::core
