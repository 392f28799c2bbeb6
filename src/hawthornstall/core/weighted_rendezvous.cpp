#include "hawthornstall/core/weighted_rendezvous.hpp"

#include <xxhash.h>

#include <cmath>
#include <cstdint>

namespace hawthornstall::core {
namespace detail {

/// Hashes the pair of key and member to a value that is uniform between 0 and 1, exclusive.
double uniform_hash(std::string_view key, std::string_view member) {
    const std::uint64_t seed = XXH3_64bits(member.data(), member.size());
    const std::uint64_t hash = XXH3_64bits_withSeed(key.data(), key.size(), seed);
    // The upper 53 bits of the hash, as many as the significand of a double holds.
    constexpr double two_to_53 = 9007199254740992.0;
    // The offset of one half keeps the value above 0, where the logarithm is defined.
    return (static_cast<double>(hash >> 11U) + 0.5) / two_to_53;
}

} // namespace detail

std::optional<std::size_t> pick_owner(std::string_view key,
                                      std::span<const weighted_member> members) {
    std::optional<std::size_t> best;
    double best_score = 0.0;
    for (std::size_t index = 0; index < members.size(); ++index) {
        const auto& member = members[index];
        const double score = -member.weight / std::log(detail::uniform_hash(key, member.name));
        if (!best || score > best_score) {
            best = index;
            best_score = score;
        }
    }
    return best;
}

} // namespace hawthornstall::core
