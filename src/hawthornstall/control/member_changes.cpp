#include "hawthornstall/control/member_changes.hpp"

#include <algorithm>
#include <iterator>
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

/// Learners that may vote now: they have caught up, are not silent, and no voter has their host.
std::vector<member_id> promotable_learners(const member_set& current,
                                           const member_observations& observed) {
    std::vector<member_id> found;
    std::ranges::copy_if(current.learners, std::back_inserter(found), [&](const auto& learner) {
        return contains(observed.caught_up, learner) && !contains(observed.silent, learner) &&
               other_identity(current.voters, learner) == nullptr;
    });
    return found;
}

/// Whether more hosts than `promotable` are about to vote: live learners and hosts that join.
bool others_follow(const member_set& current, const member_observations& observed,
                   std::size_t promotable) {
    const auto learners = std::ranges::count_if(
        current.learners, [&](const auto& learner) { return !contains(observed.silent, learner); });
    const auto joining = std::ranges::count_if(
        observed.joining, [&](const auto& member) { return !is_member(current, member); });
    return static_cast<std::size_t>(learners + joining) > promotable;
}

/// Lets all learners that have caught up vote in one step, from a single voter on. With two voters
/// the loss of one disk would end the majority for good, so a single learner waits for others.
///
/// Adding several voters at once is safe here: the only voter keeps the change on its disk before
/// another member receives it, so no quorum of the earlier members can decide without it.
std::optional<member_set> promote_first_learners(const member_set& current,
                                                 const member_observations& observed) {
    const auto promoted = promotable_learners(current, observed);
    if (promoted.empty() ||
        (promoted.size() == 1 && others_follow(current, observed, promoted.size()))) {
        return std::nullopt;
    }
    auto changed = current;
    for (const auto& learner : promoted) {
        changed = without_member(std::move(changed), learner);
        changed.voters.push_back(learner);
    }
    return changed;
}

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
    const bool is_alone = current.voters.size() == 1;
    if (auto promoted =
            is_alone ? detail::promote_first_learners(current, observed) : std::nullopt) {
        return promoted;
    }
    for (const auto& learner : current.learners) {
        if (is_alone || !detail::contains(observed.caught_up, learner) ||
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
