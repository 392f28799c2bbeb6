#pragma once

/// Member functions of consensus_node for writing and leading. Included by consensus_node.hpp only.

#include "hawthornstall/control/consensus_node.hpp"

#include <algorithm>
#include <array>

namespace hawthornstall::control {

/// A join request counts for this many times the interval at which it is repeated.
constexpr int kept_join_requests = 5;

template <log_storage Storage>
void consensus_node<Storage>::append(std::span<const log_entry> entries) {
    note(storage_.append(entries));
    unsynced_ = true;
    const auto last = storage_.log().last().index;
    members_ = storage_.log().members_at(last);
    if (is_leader()) {
        progress_.set_members(members_, last);
    }
}

template <log_storage Storage>
log_position consensus_node<Storage>::append_own(entry_payload payload) {
    const log_position position{.term = election_.term(), .index = storage_.log().last().index + 1};
    const std::array entry{log_entry{.position = position, .payload = std::move(payload)}};
    append(entry);
    return position;
}

template <log_storage Storage> void consensus_node<Storage>::lead_if_elected(core::time_ms now) {
    if (!is_leader() || leading_term_ == election_.term()) {
        return;
    }
    leading_term_ = election_.term();
    progress_.start(members_, storage_.log().last().index, now);
    heartbeat_at_ = now;
    append_own(no_operation{});
}

template <log_storage Storage> void consensus_node<Storage>::ask_to_join(core::time_ms now) {
    // A member that was removed while it was cut off is not told; it notices the silence.
    constexpr int silent_timeouts = 5;
    const bool is_left_out =
        !is_member(members_, self()) ||
        now - election_.leader_contact() > silent_timeouts * settings_.election_timeout;
    if (is_leader() || !is_left_out || now < join_at_) {
        return;
    }
    join_at_ = now + settings_.join_every;
    for (const auto& host : settings_.hosts) {
        if (host != self().host) {
            send({.host = host, .disk = 0}, join_request{});
        }
    }
}

template <log_storage Storage> void consensus_node<Storage>::found_cluster(core::time_ms now) {
    const auto& hosts = settings_.hosts;
    if (cluster_ != 0 || !settings_.may_found || !failure_.ok() || hosts.empty() ||
        *std::ranges::min_element(hosts) != self().host) {
        return;
    }
    // While this member has no cluster, it takes join requests only from others that have none.
    const auto waiting = joins_.waiting(now, kept_join_requests * settings_.join_every);
    const bool all_are_new = std::ranges::all_of(hosts, [&](const std::string& host) {
        return host == self().host ||
               std::ranges::find(waiting, host, &member_id::host) != waiting.end();
    });
    if (!all_are_new) {
        return;
    }
    note(create_cluster(storage_, std::max<std::uint64_t>(random_(), 1)));
    cluster_ = storage_.state().cluster;
    members_ = storage_.log().members_at(storage_.log().last().index);
    commit_ = handed_out_ = storage_.log().base().index;
    election_.observe_term(storage_.state().term);
}

template <log_storage Storage> bool consensus_node<Storage>::may_change_members() const {
    // Without a committed entry of its own term, two leaders could each hold an uncommitted change
    // and form quorums that do not overlap.
    return is_leader() && failure_.ok() && has_committed_in_term() &&
           storage_.log().members_changed_at() <= commit_;
}

template <log_storage Storage> void consensus_node<Storage>::change_members(core::time_ms now) {
    if (!may_change_members()) {
        return;
    }
    const auto joining = joins_.waiting(now, kept_join_requests * settings_.join_every);
    std::vector<member_id> caught_up;
    for (const auto& learner : members_.learners) {
        const auto* const progress = progress_.find(learner);
        if (progress != nullptr && progress->matched >= commit_) {
            caught_up.push_back(learner);
        }
    }
    if (auto changed = next_member_change(members_, self(), joining, caught_up)) {
        append_own(std::move(*changed));
    }
}

template <log_storage Storage> void consensus_node<Storage>::make_durable() {
    hard_state state{.self = self(),
                     .cluster = cluster_,
                     .term = election_.term(),
                     .voted_for = election_.voted_for()};
    if (failure_.ok() && state != storage_.state()) {
        note(storage_.save_state(state));
    }
    if (failure_.ok() && unsynced_) {
        note(storage_.sync());
        unsynced_ = false;
    }
}

template <log_storage Storage> void consensus_node<Storage>::advance_commit() {
    const auto last = storage_.log().last().index;
    if (auto* const own = progress_.find(self())) {
        own->matched = last;
        own->next = last + 1;
        own->probe = progress_.last_probe();
    }
    // Entries of earlier terms commit only together with one of the leader's own term.
    const auto matched = progress_.quorum_matched(members_.voters);
    if (matched > commit_ && storage_.log().term_at(matched) == election_.term()) {
        commit_ = matched;
    }
}

template <log_storage Storage> void consensus_node<Storage>::send_appends(core::time_ms now) {
    append_round round{.term = election_.term(),
                       .commit = commit_,
                       .probe = progress_.last_probe(),
                       .quorum_age = std::nullopt};
    if (const auto confirmed = confirmed_at()) {
        round.quorum_age = now - *confirmed;
    }
    for (const auto* group : {&members_.voters, &members_.learners}) {
        for (const auto& member : *group) {
            auto* const progress = member == self() ? nullptr : progress_.find(member);
            if (progress == nullptr) {
                continue;
            }
            auto planned = plan_append(round, storage_.log(), settings_, *progress, now);
            if (!planned) {
                continue;
            }
            if (auto* const request = std::get_if<append_request>(&*planned)) {
                send(member, std::move(*request));
                continue;
            }
            auto snapshot = storage_.load_snapshot();
            note(snapshot.status());
            if (snapshot.ok()) {
                send(member, snapshot_request{.term = round.term,
                                              .probe = round.probe,
                                              .snapshot = std::move(*snapshot)});
            }
        }
    }
}

template <log_storage Storage> void consensus_node<Storage>::hand_out_committed() {
    if (handed_out_ >= commit_) {
        return;
    }
    const auto entries = storage_.log().entries_from(handed_out_ + 1).first(commit_ - handed_out_);
    effects_.committed.assign(entries.begin(), entries.end());
    handed_out_ = commit_;
}

template <log_storage Storage>
void consensus_node<Storage>::send(const member_id& to, peer_body body) {
    peer_message message;
    message.cluster = cluster_;
    message.from = self();
    message.to = to;
    message.body = std::move(body);
    effects_.messages.push_back(std::move(message));
}

template <log_storage Storage>
void consensus_node<Storage>::send_all(std::vector<addressed_body> bodies) {
    for (auto& addressed : bodies) {
        send(addressed.to, std::move(addressed.body));
    }
}

template <log_storage Storage> void consensus_node<Storage>::note(const absl::Status& status) {
    failure_.Update(status);
}

template <log_storage Storage> bool consensus_node<Storage>::has_committed_in_term() const {
    return storage_.log().term_at(commit_) == election_.term();
}

} // namespace hawthornstall::control
