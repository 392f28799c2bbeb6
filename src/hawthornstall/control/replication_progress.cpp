#include "hawthornstall/control/replication_progress.hpp"

#include <algorithm>
#include <functional>

namespace hawthornstall::control {
namespace detail {

/// Largest value that more than half of `values` reach.
std::uint64_t quorum_value(std::vector<std::uint64_t> values) {
    if (values.empty()) {
        return 0;
    }
    std::ranges::sort(values, std::greater{});
    return values[values.size() / 2];
}

} // namespace detail

void replication_progress::start(const member_set& members, std::uint64_t last_index,
                                 core::time_ms now) {
    members_.clear();
    rounds_.clear();
    // Winning the election counts as a confirmation until a quorum has answered the first round.
    rounds_.push_back({.round = 0, .time = now});
    last_round_ = 0;
    set_members(members, last_index);
}

void replication_progress::set_members(const member_set& members, std::uint64_t last_index) {
    std::map<member_id, member_progress> updated;
    for (const auto* group : {&members.voters, &members.learners}) {
        for (const auto& member : *group) {
            const auto* const known = find(member);
            updated[member] =
                known == nullptr ? member_progress{.next_index = last_index + 1} : *known;
        }
    }
    members_.swap(updated);
}

member_progress* replication_progress::find(const member_id& member) {
    const auto found = members_.find(member);
    return found == members_.end() ? nullptr : &found->second;
}

const member_progress* replication_progress::find(const member_id& member) const {
    const auto found = members_.find(member);
    return found == members_.end() ? nullptr : &found->second;
}

std::uint64_t replication_progress::start_round(core::time_ms now) {
    rounds_.push_back({.round = ++last_round_, .time = now});
    return last_round_;
}

std::uint64_t replication_progress::quorum_match_index(std::span<const member_id> voters) const {
    std::vector<std::uint64_t> values;
    for (const auto& voter : voters) {
        const auto* const progress = find(voter);
        values.push_back(progress == nullptr ? 0 : progress->match_index);
    }
    return detail::quorum_value(std::move(values));
}

std::uint64_t replication_progress::quorum_round(std::span<const member_id> voters) const {
    std::vector<std::uint64_t> values;
    for (const auto& voter : voters) {
        const auto* const progress = find(voter);
        values.push_back(progress == nullptr ? 0 : progress->answered_round);
    }
    return detail::quorum_value(std::move(values));
}

core::time_ms replication_progress::confirmed_at(std::span<const member_id> voters) {
    const auto confirmed = quorum_round(voters);
    while (rounds_.size() > 1 && rounds_[1].round <= confirmed) {
        rounds_.pop_front();
    }
    return rounds_.front().time;
}

bool replication_progress::has_snapshot_in_flight(core::duration_ms limit,
                                                  core::time_ms now) const {
    return std::ranges::any_of(members_, [&](const auto& item) {
        const auto& progress = item.second;
        return progress.is_snapshot_in_flight && progress.heard_at &&
               now - *progress.heard_at <= limit;
    });
}

std::vector<member_id> replication_progress::silent_members(core::duration_ms limit,
                                                            core::time_ms now) {
    std::vector<member_id> silent;
    for (auto& [member, progress] : members_) {
        progress.heard_at = progress.heard_at.value_or(now);
        if (now - *progress.heard_at > limit) {
            silent.push_back(member);
        }
    }
    return silent;
}

} // namespace hawthornstall::control
