#pragma once

/// Messages of the consensus protocol between control hosts.

#include "hawthornstall/control/consensus_types.hpp"

#include <cstdint>
#include <optional>
#include <variant>
#include <vector>

namespace hawthornstall::control {

/// Asks for a vote. With `pre_vote` it only asks whether a vote would be granted, which changes no
/// state of the receiver.
struct vote_request {
    bool pre_vote = false;
    std::uint64_t term = 0; ///< Term that the sender wants to lead.
    log_position last;      ///< Last entry of the sender.

    bool operator==(const vote_request&) const = default;
};

/// Answer to vote_request.
struct vote_reply {
    bool pre_vote = false;
    std::uint64_t term = 0; ///< Term of the request when granted, otherwise the sender's term.
    bool granted = false;

    bool operator==(const vote_reply&) const = default;
};

/// Replicates the entries after `previous`. Without entries it is a heartbeat.
struct append_request {
    std::uint64_t term = 0;
    log_position previous;
    std::uint64_t commit = 0;
    std::uint64_t round = 0; ///< Confirmation round of the leader; repeated in the reply.
    /// Time since the leader last knew that `commit` was the quorum's state; empty until it has
    /// committed an entry in its term.
    std::optional<core::duration_ms> confirmation_age;
    std::vector<log_entry> entries;

    bool operator==(const append_request&) const = default;
};

/// Answer to append_request and snapshot_request.
struct append_reply {
    std::uint64_t term = 0;
    bool matched = false; ///< Whether the request was accepted.
    /// When matched, the index up to which the replying member's synced log equals the leader's.
    /// Otherwise the index after which the leader should retry.
    std::uint64_t index = 0;
    std::uint64_t round = 0;

    bool operator==(const append_reply&) const = default;
};

/// Full state for a member whose next entry has been compacted by the leader.
struct snapshot_request {
    std::uint64_t term = 0;
    std::uint64_t round = 0;
    log_snapshot snapshot;

    bool operator==(const snapshot_request&) const = default;
};

/// Asks the leader to add the sender as a learner. Another member forwards it to the leader.
struct join_request {
    bool operator==(const join_request&) const = default;
};

using peer_body = std::variant<vote_request, vote_reply, append_request, append_reply,
                               snapshot_request, join_request>;

/// A message with its cluster, sender and receiver. A receiver ignores messages that are addressed
/// to another identity of its host or come from another cluster.
struct peer_message {
    std::uint64_t cluster_id = 0;
    member_id from;
    /// Receiver. Its `storage_id` is 0 in a join_request that was not forwarded, because the
    /// receiver's identity is not known yet.
    member_id to;
    peer_body body;

    bool operator==(const peer_message&) const = default;
};

} // namespace hawthornstall::control
