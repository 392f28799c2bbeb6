#pragma once

/// Member functions of consensus_node for writing and leading. Included by consensus_node.hpp only.

#include "hawthornstall/control/consensus_node.hpp"

#include <algorithm>
#include <array>
#include <set>
#include <string>

namespace hawthornstall::control {

/// A join request expires after this many of the intervals at which it is repeated.
constexpr int join_request_lifetime_intervals = 5;

template <log_storage Storage>
void consensus_node<Storage>::append(std::span<const log_entry> entries) {
    record_status(storage_.append(entries));
    has_unsynced_entries_ = true;
    const auto last = storage_.log().last().index;
    members_ = storage_.log().members_at(last);
    if (is_leader()) {
        progress_.set_members(members_, last);
    }
}

template <log_storage Storage>
log_position consensus_node<Storage>::append_as_leader(entry_payload payload) {
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
    next_heartbeat_at_ = now;
    append_as_leader(no_operation{});
}

template <log_storage Storage> void consensus_node<Storage>::request_join(core::time_ms now) {
    // A member that was removed while it was partitioned is not informed of it, so it also asks to
    // join after a long silence of the leader.
    constexpr int silent_timeouts = 5;
    const bool needs_to_join =
        !is_member(members_, self()) ||
        now - election_.last_leader_contact() > silent_timeouts * settings_.election_timeout;
    if (is_leader() || !needs_to_join || now < next_join_request_at_) {
        return;
    }
    next_join_request_at_ = now + settings_.join_every;
    // The hosts in the settings may have been replaced, and the voters of a log that lags as well.
    std::set<std::string> hosts{settings_.hosts.begin(), settings_.hosts.end()};
    for (const auto& voter : members_.voters) {
        hosts.insert(voter.host);
    }
    hosts.erase(self().host);
    for (const auto& host : hosts) {
        send({.host = host, .storage_id = 0}, join_request{});
    }
}

template <log_storage Storage>
void consensus_node<Storage>::create_cluster_if_all_hosts_new(core::time_ms now) {
    const auto& hosts = settings_.hosts;
    if (cluster_id_ != 0 || !settings_.may_create_cluster || !failure_.ok() || hosts.empty() ||
        *std::ranges::min_element(hosts) != self().host) {
        return;
    }
    // A member without a cluster receives join requests only from others without a cluster.
    const auto pending =
        joins_.pending(now, join_request_lifetime_intervals * settings_.join_every);
    const bool all_are_new = std::ranges::all_of(hosts, [&](const std::string& host) {
        return host == self().host ||
               std::ranges::find(pending, host, &member_id::host) != pending.end();
    });
    if (!all_are_new) {
        return;
    }
    record_status(create_cluster(storage_, std::max<std::uint64_t>(random_(), 1)));
    cluster_id_ = storage_.state().cluster_id;
    members_ = storage_.log().members_at(storage_.log().last().index);
    commit_index_ = delivered_index_ = storage_.log().base().index;
    election_.observe_term(storage_.state().term);
}

template <log_storage Storage> bool consensus_node<Storage>::may_change_members() const {
    // Before a leader has committed an entry of its own term, two leaders could each hold an
    // uncommitted member change and form quorums that do not overlap.
    return is_leader() && failure_.ok() && has_committed_in_term() &&
           storage_.log().members_changed_at() <= commit_index_;
}

/// Whether a committed change would be lost with this member's disk, although other hosts belong to
/// the cluster. This is the case while the cluster is created.
template <log_storage Storage> bool consensus_node<Storage>::has_single_copy() const {
    return members_.voters.size() == 1 && settings_.hosts.size() > 1;
}

template <log_storage Storage> void consensus_node<Storage>::change_members(core::time_ms now) {
    if (!may_change_members()) {
        return;
    }
    const auto joining =
        joins_.pending(now, join_request_lifetime_intervals * settings_.join_every);
    std::vector<member_id> caught_up;
    for (const auto& learner : members_.learners) {
        const auto* const progress = progress_.find(learner);
        if (progress != nullptr && progress->match_index >= commit_index_) {
            caught_up.push_back(learner);
        }
    }
    // Right after this process was suspended all members seem silent. Only a leader in contact with
    // a majority judges the others.
    const bool has_contact =
        now - progress_.confirmed_at(members_.voters) <= settings_.election_timeout;
    auto silent = progress_.silent_members(settings_.remove_silent_after, now);
    if (!has_contact) {
        silent.clear();
    }
    const member_observations observed{
        .joining = joining, .caught_up = caught_up, .silent = silent};
    if (auto changed = next_member_change(members_, self(), observed)) {
        append_as_leader(std::move(*changed));
    }
}

template <log_storage Storage> void consensus_node<Storage>::make_durable() {
    hard_state state{.self = self(),
                     .cluster_id = cluster_id_,
                     .term = election_.term(),
                     .voted_for = election_.voted_for()};
    if (failure_.ok() && state != storage_.state()) {
        record_status(storage_.save_state(state));
    }
    if (failure_.ok() && has_unsynced_entries_) {
        record_status(storage_.sync());
        has_unsynced_entries_ = false;
    }
}

template <log_storage Storage> void consensus_node<Storage>::advance_commit() {
    const auto last = storage_.log().last().index;
    if (auto* const own = progress_.find(self())) {
        own->match_index = last;
        own->next_index = last + 1;
        own->answered_round = progress_.last_round();
    }
    // Entries of earlier terms commit only together with one of the leader's own term.
    const auto matched = progress_.quorum_match_index(members_.voters);
    if (matched > commit_index_ && storage_.log().term_at(matched) == election_.term()) {
        commit_index_ = matched;
    }
}

template <log_storage Storage> void consensus_node<Storage>::send_appends(core::time_ms now) {
    append_header header{.term = election_.term(),
                         .commit = commit_index_,
                         .round = progress_.last_round(),
                         .confirmation_age = std::nullopt,
                         .may_send_snapshot = true};
    if (const auto confirmed = confirmed_at()) {
        header.confirmation_age = now - *confirmed;
    }
    for (const auto* group : {&members_.voters, &members_.learners}) {
        for (const auto& member : *group) {
            auto* const progress = member == self() ? nullptr : progress_.find(member);
            if (progress == nullptr) {
                continue;
            }
            header.may_send_snapshot =
                !progress_.has_snapshot_in_flight(settings_.remove_silent_after, now);
            auto planned = plan_append(header, storage_.log(), settings_, *progress, now);
            if (!planned) {
                continue;
            }
            if (auto* const request = std::get_if<append_request>(&*planned)) {
                send(member, std::move(*request));
                continue;
            }
            auto snapshot = storage_.load_snapshot();
            record_status(snapshot.status());
            if (snapshot.ok()) {
                send(member, snapshot_request{.term = header.term,
                                              .round = header.round,
                                              .snapshot = std::move(*snapshot)});
            }
        }
    }
}

template <log_storage Storage> void consensus_node<Storage>::deliver_committed() {
    if (delivered_index_ >= commit_index_) {
        return;
    }
    const auto entries =
        storage_.log().entries_from(delivered_index_ + 1).first(commit_index_ - delivered_index_);
    effects_.committed.assign(entries.begin(), entries.end());
    delivered_index_ = commit_index_;
}

template <log_storage Storage>
void consensus_node<Storage>::send(const member_id& to, peer_body body) {
    peer_message message;
    message.cluster_id = cluster_id_;
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

template <log_storage Storage>
void consensus_node<Storage>::record_status(const absl::Status& status) {
    failure_.Update(status);
}

template <log_storage Storage> bool consensus_node<Storage>::has_committed_in_term() const {
    return storage_.log().term_at(commit_index_) == election_.term();
}

} // namespace hawthornstall::control
