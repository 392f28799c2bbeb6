#include "hawthornstall/control/member_changes.hpp"

#include <algorithm>
#include <utility>

namespace hawthornstall::control {
namespace detail {

/// Another identity of the same host, or null.
const member_id* other_identity(std::span<const member_id> members, const member_id& member) {
    const auto found = std::ranges::find_if(members, [&](const member_id& candidate) {
        return candidate.host == member.host && candidate.storage_id != member.storage_id;
    });
    return found == members.end() ? nullptr : &*found;
}

bool contains(std::span<const member_id> members, const member_id& member) {
    return std::ranges::find(members, member) != members.end();
}

/// Smallest number of voters from which a silent one is removed. Fewer would leave a single copy of
/// a committed entry.
constexpr std::size_t min_voters_before_removal = 4;

/// Voter to remove because it is silent, or null.
const member_id* removable_voter(const member_set& current, const member_id& self,
                                 std::span<const member_id> silent) {
    const auto count = current.voters.size();
    if (count < min_voters_before_removal || count % 2 != 0) {
        return nullptr;
    }
    const auto found = std::ranges::find_if(current.voters, [&](const member_id& voter) {
        return voter != self && contains(silent, voter);
    });
    return found == current.voters.end() ? nullptr : &*found;
}

} // namespace detail

std::vector<member_id> join_queue::pending(core::time_ms now, core::duration_ms max_age) {
    std::erase_if(requests_, [&](const auto& entry) { return now - entry.second.time > max_age; });
    std::vector<member_id> members;
    for (const auto& [host, request] : requests_) {
        members.push_back(request.member);
    }
    return members;
}

member_set without_member(member_set members, const member_id& member) {
    std::erase(members.voters, member);
    std::erase(members.learners, member);
    return members;
}

bool is_voter(const member_set& members, const member_id& member) {
    return detail::contains(members.voters, member);
}

bool is_member(const member_set& members, const member_id& member) {
    return is_voter(members, member) || detail::contains(members.learners, member);
}

std::optional<member_set> next_member_change(const member_set& current, const member_id& self,
                                             const member_observations& observed) {
    if (const auto* const voter = detail::removable_voter(current, self, observed.silent)) {
        return without_member(current, *voter);
    }
    for (const auto& learner : current.learners) {
        if (!detail::contains(observed.caught_up, learner) ||
            detail::contains(observed.silent, learner)) {
            continue;
        }
        const auto* const old = detail::other_identity(current.voters, learner);
        if (old != nullptr && *old != self) {
            return without_member(current, *old);
        }
        if (old == nullptr) {
            auto promoted = without_member(current, learner);
            promoted.voters.push_back(learner);
            return promoted;
        }
    }
    for (const auto& member : observed.joining) {
        if (is_member(current, member)) {
            continue;
        }
        if (const auto* const old = detail::other_identity(current.learners, member)) {
            return without_member(current, *old);
        }
        auto extended = current;
        extended.learners.push_back(member);
        return extended;
    }
    return std::nullopt;
}

} // namespace hawthornstall::control
