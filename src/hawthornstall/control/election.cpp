#include "hawthornstall/control/election.hpp"

#include <algorithm>

namespace hawthornstall::control {
bool is_quorum(std::span<const member_id> voters, const std::set<member_id>& counted) {
    const auto count = std::ranges::count_if(
        voters, [&](const member_id& voter) { return counted.count(voter) != 0; });
    return 2 * static_cast<std::size_t>(count) > voters.size();
}

election::election(const hard_state& state, core::duration_ms timeout, std::uint64_t seed,
                   core::time_ms now)
    : self_(state.self), timeout_(timeout),
      random_(static_cast<std::minstd_rand::result_type>(seed)), term_(state.term),
      voted_for_(state.voted_for), last_leader_contact_(now - timeout) {
    restart_timer(now);
}

std::vector<addressed_body> election::tick(const election_view& view, core::time_ms now) {
    // A member that has lost entries would lead without entries that are committed.
    const bool may_lead =
        std::ranges::find(view.members.voters, self_) != view.members.voters.end() &&
        view.last >= view.acknowledged;
    if (role_ == member_role::leader || now < deadline_ || !may_lead) {
        return {};
    }
    return campaign(true, view, now);
}

std::vector<addressed_body> election::campaign(bool pre_vote, const election_view& view,
                                               core::time_ms now) {
    leader_.reset();
    votes_ = {self_};
    campaigns_ += pre_vote ? 1 : 0;
    restart_timer(now);
    if (pre_vote) {
        role_ = member_role::pre_candidate;
    } else {
        role_ = member_role::candidate;
        ++term_;
        voted_for_ = self_;
    }
    if (is_quorum(view.members.voters, votes_)) {
        if (pre_vote) {
            return campaign(false, view, now);
        }
        become_leader();
        return {};
    }
    const vote_request request{
        .pre_vote = pre_vote, .term = pre_vote ? term_ + 1 : term_, .last = view.last};
    std::vector<addressed_body> messages;
    for (const auto& voter : view.members.voters) {
        if (voter != self_) {
            messages.push_back({voter, request});
        }
    }
    return messages;
}

std::optional<vote_reply> election::handle_vote_request(const member_id& from,
                                                        const vote_request& request,
                                                        const election_view& view,
                                                        core::time_ms now) {
    // Vote requests are ignored while the leader is alive; otherwise a badly connected member could
    // depose a working leader again and again.
    if (has_live_leader(now)) {
        return std::nullopt;
    }
    // A member that has lost entries still votes for what it has confirmed, as if it had them.
    const bool up_to_date = request.last >= view.acknowledged;
    if (request.pre_vote) {
        const bool granted = up_to_date && request.term > term_;
        return vote_reply{
            .pre_vote = true, .term = granted ? request.term : term_, .granted = granted};
    }
    observe_term(request.term);
    const bool granted =
        up_to_date && request.term == term_ && (!voted_for_ || *voted_for_ == from);
    if (granted) {
        voted_for_ = from;
        restart_timer(now);
    }
    return vote_reply{.pre_vote = false, .term = term_, .granted = granted};
}

std::vector<addressed_body> election::handle_vote_reply(const member_id& from,
                                                        const vote_reply& reply,
                                                        const election_view& view,
                                                        core::time_ms now) {
    if (!reply.granted) {
        observe_term(reply.term);
        return {};
    }
    const bool counts = reply.pre_vote
                            ? role_ == member_role::pre_candidate && reply.term == term_ + 1
                            : role_ == member_role::candidate && reply.term == term_;
    if (!counts) {
        return {};
    }
    votes_.insert(from);
    if (!is_quorum(view.members.voters, votes_)) {
        return {};
    }
    if (reply.pre_vote) {
        return campaign(false, view, now);
    }
    become_leader();
    return {};
}

void election::become_leader() {
    role_ = member_role::leader;
    leader_ = self_;
    has_seen_leader_ = true;
    campaigns_ = 0;
}

void election::observe_term(std::uint64_t term) {
    if (term > term_) {
        term_ = term;
        voted_for_.reset();
        leader_.reset();
        role_ = member_role::follower;
    }
}

void election::observe_leader(const member_id& leader, std::uint64_t term, core::time_ms now) {
    observe_term(term);
    role_ = member_role::follower;
    leader_ = leader;
    last_leader_contact_ = now;
    has_seen_leader_ = true;
    campaigns_ = 0;
    restart_timer(now);
}

void election::step_down(core::time_ms now) {
    role_ = member_role::follower;
    leader_.reset();
    restart_timer(now);
}

bool election::has_live_leader(core::time_ms now) const {
    return role_ == member_role::leader || (leader_ && now - last_leader_contact_ < timeout_);
}

void election::restart_timer(core::time_ms now) {
    // A member that has not seen a leader yet waits for a fraction of the timeout: after a restart
    // of all members there is no leader to wait for. While there is one, its pre-vote is ignored.
    constexpr int initial_wait_divisor = 4;
    // Unsuccessful campaigns back off exponentially up to this multiple of the timeout. A vote
    // needs a synced write on both sides, which can take longer than a short wait on a busy disk,
    // and the next campaign would discard the votes.
    constexpr int max_wait_timeouts = 2;
    auto wait = has_seen_leader_ ? timeout_ : timeout_ / initial_wait_divisor;
    for (int campaign = 1; campaign < campaigns_ && wait < timeout_ * max_wait_timeouts;
         ++campaign) {
        wait *= 2;
    }
    std::uniform_int_distribution<core::duration_ms::rep> extra{0, wait.count()};
    deadline_ = now + wait + core::duration_ms{extra(random_)};
}

} // namespace hawthornstall::control
