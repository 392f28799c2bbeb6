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
                                             std::span<const member_id> joining,
                                             std::span<const member_id> caught_up) {
    for (const auto& learner : current.learners) {
        if (!detail::contains(caught_up, learner)) {
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
    for (const auto& member : joining) {
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
