#pragma once

/// Leader election with pre-vote. It does no I/O: it takes messages and the time, and returns
/// messages.

#include "hawthornstall/control/consensus_messages.hpp"
#include "hawthornstall/control/consensus_settings.hpp"

#include <cstdint>
#include <optional>
#include <random>
#include <set>
#include <span>
#include <vector>

namespace hawthornstall::control {

/// Role of a member in its current term.
enum class member_role : std::uint8_t { follower, pre_candidate, candidate, leader };

/// State of the log that an election depends on.
struct election_view {
    const member_set& members; ///< Latest members in the log.
    log_position last;         ///< Last entry of the log.
    /// Last entry that this member may have confirmed; after `last` when it has lost entries.
    log_position acknowledged;
};

/// Body of a message and its receiver.
struct addressed_body {
    member_id to;
    peer_body body;
};

/// Whether `counted` contains more than half of `voters`.
[[nodiscard]] bool is_quorum(std::span<const member_id> voters, const std::set<member_id>& counted);

/// Role, term and vote of one member. The owner must make term() and voted_for() durable before it
/// sends any message returned here.
class election {
public:
    election(const hard_state& state, core::duration_ms timeout, std::uint64_t seed,
             core::time_ms now);

    /// Starts an election once no leader has been heard for the election timeout.
    [[nodiscard]] std::vector<addressed_body> tick(const election_view& view, core::time_ms now);

    /// Answers a vote request. Empty when the request is ignored because this member hears a live
    /// leader.
    [[nodiscard]] std::optional<vote_reply> handle_vote_request(const member_id& from,
                                                                const vote_request& request,
                                                                const election_view& view,
                                                                core::time_ms now);

    /// Counts a vote. Returns the vote requests that follow a successful pre-vote.
    [[nodiscard]] std::vector<addressed_body> handle_vote_reply(const member_id& from,
                                                                const vote_reply& reply,
                                                                const election_view& view,
                                                                core::time_ms now);

    /// Becomes a follower in `term` if it is higher than the current term.
    void observe_term(std::uint64_t term);

    /// Follows `leader`, whose term must not be lower than the current one.
    void observe_leader(const member_id& leader, std::uint64_t term, core::time_ms now);

    /// Becomes a follower without a known leader in the same term.
    void step_down(core::time_ms now);

    [[nodiscard]] member_role role() const noexcept { return role_; }
    [[nodiscard]] std::uint64_t term() const noexcept { return term_; }
    [[nodiscard]] const std::optional<member_id>& voted_for() const noexcept { return voted_for_; }

    /// Leader of the term; empty while it is unknown.
    [[nodiscard]] const std::optional<member_id>& leader() const noexcept { return leader_; }
    [[nodiscard]] core::time_ms last_leader_contact() const noexcept {
        return last_leader_contact_;
    }

private:
    [[nodiscard]] std::vector<addressed_body> campaign(bool pre_vote, const election_view& view,
                                                       core::time_ms now);
    /// Becomes the leader after a quorum has voted for this member.
    void become_leader();
    [[nodiscard]] bool has_live_leader(core::time_ms now) const;
    void restart_timer(core::time_ms now);

    member_id self_;
    core::duration_ms timeout_;
    std::minstd_rand random_;
    member_role role_ = member_role::follower;
    std::uint64_t term_;
    std::optional<member_id> voted_for_;
    std::optional<member_id> leader_;
    core::time_ms last_leader_contact_;
    core::time_ms deadline_;
    bool has_seen_leader_ = false; ///< Since this process started.
    int campaigns_ = 0;            ///< Since the last known leader or the start.
    std::set<member_id> votes_;
};

} // namespace hawthornstall::control
