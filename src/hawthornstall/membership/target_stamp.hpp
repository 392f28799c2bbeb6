#pragma once

/// Order of the announcements of one target.

#include "hawthornstall/core/target.hpp"

#include <cstdint>

namespace hawthornstall::membership {

/// A larger stamp is later news.
struct target_stamp {
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;

    bool operator==(const target_stamp&) const = default;

    // Written out because clang-tidy 14 reports the rewritten form of operator<=> as a null
    // pointer.
    bool operator<(const target_stamp& other) const {
        return incarnation < other.incarnation ||
               (incarnation == other.incarnation && sequence < other.sequence);
    }
    bool operator>(const target_stamp& other) const { return other < *this; }
};

[[nodiscard]] inline target_stamp stamp_of(const core::target_announcement& news) noexcept {
    return {news.incarnation, news.sequence};
}

/// True when the two differ in nothing but the sequence, so that the later one is a mere renewal.
[[nodiscard]] inline bool is_renewal(const core::target_announcement& known,
                                     core::target_announcement later) {
    later.sequence = known.sequence;
    return later == known;
}

} // namespace hawthornstall::membership
