#pragma once

/// Member functions of consensus_node. Included by consensus_node.hpp only.

#include "hawthornstall/control/consensus_node.hpp"

#include <algorithm>
#include <variant>

namespace hawthornstall::control {

template <log_storage Storage>
consensus_node<Storage>::consensus_node(Storage storage, consensus_settings settings,
                                        std::uint64_t seed, core::time_ms now)
    : storage_(std::move(storage)), settings_(std::move(settings)),
      election_(storage_.state(), settings_.election_timeout, seed, now),
      members_(storage_.log().members_at(storage_.log().last().index)),
      cluster_id_(storage_.state().cluster_id), random_(seed),
      commit_index_(storage_.log().base().index), delivered_index_(commit_index_),
      next_heartbeat_at_(now), next_join_request_at_(now) {}

template <log_storage Storage>
bool consensus_node<Storage>::is_for_this_member(const peer_message& message) const {
    const bool is_join = std::holds_alternative<join_request>(message.body);
    const bool from_leader = std::holds_alternative<append_request>(message.body) ||
                             std::holds_alternative<snapshot_request>(message.body);
    const bool addressed =
        message.to == self() ||
        (is_join && message.to == member_id{.host = self().host, .storage_id = 0});
    // A member without a cluster joins the cluster of the leader that added it as a learner.
    const bool from_outside =
        message.cluster_id == 0 || (message.cluster_id == unknown_cluster_id && cluster_id_ != 0);
    const bool same_cluster = message.cluster_id == cluster_id_ || (is_join && from_outside) ||
                              (from_leader && !is_cluster(cluster_id_));
    return addressed && same_cluster && message.from.storage_id != 0;
}

template <log_storage Storage>
void consensus_node<Storage>::receive(const peer_message& message, core::time_ms now) {
    if (!failure_.ok() || !is_for_this_member(message)) {
        return;
    }
    if (std::holds_alternative<join_request>(message.body)) {
        forward_join(message);
    }
    std::visit([&](const auto& body) { handle(message.from, body, now); }, message.body);
    if (!is_cluster(cluster_id_) && election_.leader() == message.from) {
        cluster_id_ = message.cluster_id;
    }
    lead_if_elected(now);
}

template <log_storage Storage> void consensus_node<Storage>::tick(core::time_ms now) {
    send_all(election_.tick(view(), now));
    lead_if_elected(now);
    if (is_leader() && now >= next_heartbeat_at_) {
        next_heartbeat_at_ = now + settings_.heartbeat_every;
        progress_.start_round(now);
        // A leader without contact to a quorum steps down, so that requests go to another member.
        if (now - progress_.confirmed_at(members_.voters) > settings_.election_timeout &&
            members_.voters.size() > 1) {
            election_.step_down(now);
        }
    }
    create_cluster_if_all_hosts_new(now);
    request_join(now);
}

template <log_storage Storage>
void consensus_node<Storage>::handle(const member_id& from, const vote_request& request,
                                     core::time_ms now) {
    if (const auto reply = election_.handle_vote_request(from, request, view(), now)) {
        send(from, *reply);
    }
}

template <log_storage Storage>
void consensus_node<Storage>::handle(const member_id& from, const vote_reply& reply,
                                     core::time_ms now) {
    send_all(election_.handle_vote_reply(from, reply, view(), now));
}

template <log_storage Storage>
void consensus_node<Storage>::handle(const member_id& from, const append_request& request,
                                     core::time_ms now) {
    append_reply reply{
        .term = election_.term(), .matched = false, .index = 0, .round = request.round};
    if (request.term >= election_.term()) {
        election_.observe_leader(from, request.term, now);
        reply.term = request.term;
        reply.matched = accept_entries(request);
        const auto end = request.previous.index + request.entries.size();
        reply.index =
            reply.matched ? end : std::min(storage_.log().last().index, request.previous.index - 1);
        if (reply.matched) {
            commit_index_ = std::max(commit_index_, std::min(request.commit, end));
            if (request.confirmation_age && commit_index_ >= request.commit) {
                leader_confirmed_at_ = now - *request.confirmation_age;
            }
        }
    }
    send(from, reply);
}

/// Appends the entries that the log does not contain yet. False when the entry before them is
/// missing or has another term, or when they contradict a committed entry.
template <log_storage Storage>
bool consensus_node<Storage>::accept_entries(const append_request& request) {
    const auto& log = storage_.log();
    const auto base = log.base().index;
    // Everything up to the base is committed and therefore equal to the leader's log.
    if (request.previous.index >= base &&
        log.term_at(request.previous.index) != request.previous.term) {
        return false;
    }
    const auto fresh = std::ranges::find_if(request.entries, [&](const log_entry& entry) {
        return entry.position.index > base &&
               log.term_at(entry.position.index) != entry.position.term;
    });
    if (fresh == request.entries.end()) {
        return true;
    }
    if (fresh->position.index <= commit_index_) {
        record_status(core::make_error(absl::StatusCode::kDataLoss,
                                       {.step = "append_entries", .peer = {}},
                                       "the leader's log contradicts a committed entry"));
        return false;
    }
    append({fresh, request.entries.end()});
    return true;
}

template <log_storage Storage>
void consensus_node<Storage>::handle(const member_id& from, const append_reply& reply,
                                     core::time_ms now) {
    election_.observe_term(reply.term);
    auto* const progress = progress_.find(from);
    if (is_leader() && reply.term == election_.term() && progress != nullptr) {
        record_reply(reply, *progress);
        progress->heard_at = now;
    }
}

template <log_storage Storage>
void consensus_node<Storage>::handle(const member_id& from, const snapshot_request& request,
                                     core::time_ms now) {
    append_reply reply{
        .term = election_.term(), .matched = false, .index = 0, .round = request.round};
    if (request.term >= election_.term()) {
        election_.observe_leader(from, request.term, now);
        reply.term = request.term;
        reply.matched = true;
        reply.index = request.snapshot.position.index;
        if (request.snapshot.position.index > commit_index_) {
            record_status(storage_.install(request.snapshot));
            members_ = storage_.log().members_at(storage_.log().last().index);
            commit_index_ = delivered_index_ = request.snapshot.position.index;
            effects_.installed_snapshot = request.snapshot;
        }
    }
    send(from, reply);
}

template <log_storage Storage>
void consensus_node<Storage>::handle(const member_id& from, const join_request& /*request*/,
                                     core::time_ms now) {
    if (settings_.accept_unlisted ||
        std::ranges::find(settings_.hosts, from.host) != settings_.hosts.end()) {
        joins_.add(from, now);
    }
}

/// Forwards a join request to the leader, whose host the sender may not know. Only a request
/// without a receiver's identity is forwarded, so that it is forwarded at most once.
template <log_storage Storage>
void consensus_node<Storage>::forward_join(const peer_message& request) {
    const auto& leader = election_.leader();
    if (request.to.storage_id == 0 && leader && *leader != self() && request.from != *leader) {
        auto forwarded = request;
        forwarded.cluster_id = cluster_id_;
        forwarded.to = *leader;
        effects_.messages.push_back(std::move(forwarded));
    }
}

template <log_storage Storage>
std::optional<log_position> consensus_node<Storage>::propose(entry_payload change) {
    const bool is_full =
        storage_.log().bytes_after(commit_index_) > settings_.max_uncommitted_bytes;
    if (!is_leader() || !failure_.ok() || is_full || has_single_copy()) {
        return std::nullopt;
    }
    return append_as_leader(std::move(change));
}

template <log_storage Storage>
std::optional<read_ticket> consensus_node<Storage>::start_read(core::time_ms now) {
    if (!is_leader() || !has_committed_in_term()) {
        return std::nullopt;
    }
    return read_ticket{.term = election_.term(), .round = progress_.start_round(now)};
}

template <log_storage Storage>
read_state consensus_node<Storage>::check(const read_ticket& ticket) const {
    if (!is_leader() || ticket.term != election_.term()) {
        return read_state::lost;
    }
    return progress_.quorum_round(members_.voters) >= ticket.round ? read_state::confirmed
                                                                   : read_state::waiting;
}

template <log_storage Storage> bool consensus_node<Storage>::remove(const member_id& member) {
    if (!may_change_members() || member == self() || !is_member(members_, member)) {
        return false;
    }
    append_as_leader(without_member(members_, member));
    return true;
}

template <log_storage Storage>
void consensus_node<Storage>::compact(std::uint64_t index, store_snapshot state) {
    const auto& log = storage_.log();
    const auto term = log.term_at(index);
    if (!failure_.ok() || !term || index <= log.base().index || index > delivered_index_) {
        return;
    }
    log_snapshot snapshot;
    snapshot.position = {.term = *term, .index = index};
    snapshot.members = log.members_at(index);
    snapshot.state = std::move(state);
    record_status(storage_.install(snapshot));
}

template <log_storage Storage>
absl::StatusOr<node_effects> consensus_node<Storage>::finish(core::time_ms now) {
    change_members(now);
    make_durable();
    if (is_leader() && failure_.ok()) {
        advance_commit();
        send_appends(now);
    }
    deliver_committed();
    if (!failure_.ok()) {
        return failure_;
    }
    return std::exchange(effects_, {});
}

template <log_storage Storage>
std::optional<core::time_ms> consensus_node<Storage>::confirmed_at() {
    if (!is_leader()) {
        return leader_confirmed_at_;
    }
    if (!has_committed_in_term()) {
        return std::nullopt;
    }
    return progress_.confirmed_at(members_.voters);
}

} // namespace hawthornstall::control

#include "hawthornstall/control/detail/consensus_node_leader.hpp"
