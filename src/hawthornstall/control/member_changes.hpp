#pragma once

/// Decides which member change a leader makes next. Members are changed one at a time.

#include "hawthornstall/control/consensus_types.hpp"
#include "hawthornstall/core/ms_clock.hpp"

#include <map>
#include <optional>
#include <span>
#include <vector>

namespace hawthornstall::control {

/// Latest join request of each host.
class join_queue {
public:
    void add(const member_id& member, core::time_ms now) { requests_[member.host] = {member, now}; }

    /// Members whose latest request is at most `max_age` old; discards older requests.
    [[nodiscard]] std::vector<member_id> pending(core::time_ms now, core::duration_ms max_age);

private:
    struct request {
        member_id member;
        core::time_ms time;
    };

    std::map<std::string, request> requests_;
};

/// Copy of `members` in which `member` is neither voter nor learner.
[[nodiscard]] member_set without_member(member_set members, const member_id& member);

[[nodiscard]] bool is_voter(const member_set& members, const member_id& member);
[[nodiscard]] bool is_member(const member_set& members, const member_id& member);

/// What a leader knows about members and hosts that want to join.
struct member_observations {
    std::span<const member_id> joining;   ///< Those with a pending join request (see join_queue).
    std::span<const member_id> caught_up; ///< Learners whose log contains all committed entries.
    std::span<const member_id> silent;    ///< Members that have not answered for a while.
};

/// Next step towards all joining members being voters; empty when there is none.
///
/// The earlier identity of a rejoining host is removed before the new one becomes a voter. Doing
/// both in one step would be unsafe: a majority of {A, B, C-old} and one of {A, B, C-new} need not
/// overlap.
///
/// A silent voter is removed from an even number of at least four voters. The majority of the
/// others is smaller by one, so that they tolerate as many losses as before. An odd number keeps
/// its silent voters, because without one of them it would tolerate fewer losses when that voter
/// returns.
[[nodiscard]] std::optional<member_set> next_member_change(const member_set& current,
                                                           const member_id& self,
                                                           const member_observations& observed);

} // namespace hawthornstall::control
