#pragma once

/// Version of an announcement, which orders the announcements of one target.

#include "hawthornstall/core/target.hpp"

#include <cstdint>

namespace hawthornstall::membership {

/// Version of an announcement. A larger stamp is later: the incarnation grows with each start of
/// the target, and the sequence with each announcement of one incarnation.
struct target_stamp {
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;

    bool operator==(const target_stamp&) const = default;

    // Not operator<=>, because clang-tidy 14 reports its rewritten form as a null pointer.
    bool operator<(const target_stamp& other) const {
        return incarnation < other.incarnation ||
               (incarnation == other.incarnation && sequence < other.sequence);
    }
    bool operator>(const target_stamp& other) const { return other < *this; }
};

[[nodiscard]] inline target_stamp stamp_of(const core::target_announcement& announcement) noexcept {
    return {announcement.incarnation, announcement.sequence};
}

/// Whether `later` differs from `known` in the sequence only, so that it just renews the lease.
[[nodiscard]] inline bool is_renewal(const core::target_announcement& known,
                                     core::target_announcement later) {
    later.sequence = known.sequence;
    return later == known;
}

} // namespace hawthornstall::membership
