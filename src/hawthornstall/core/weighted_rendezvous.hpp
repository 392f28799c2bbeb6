#pragma once

/// Weighted rendezvous hashing: every observer with the same member list picks the same member.

#include <cstddef>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace hawthornstall::core {

/// A candidate and its relative capacity.
struct weighted_member {
    std::string name;
    double weight = 1.0; ///< Must be positive.
};

/// Index of the member that owns `key`, empty when `members` is empty.
[[nodiscard]] std::optional<std::size_t> pick_owner(std::string_view key,
                                                    std::span<const weighted_member> members);

} // namespace hawthornstall::core
