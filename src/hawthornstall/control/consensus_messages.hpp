#pragma once

/// Messages between control hosts.

#include "hawthornstall/control/consensus_types.hpp"

#include <cstdint>
#include <optional>
#include <variant>
#include <vector>

namespace hawthornstall::control {

/// Asks for a vote, or with `pre_vote` whether a vote would be given. Changes nothing in that case.
struct vote_request {
    bool pre_vote = false;
    std::uint64_t term = 0; ///< Term that the sender wants to lead.
    log_position last;      ///< Last entry of the sender.

    bool operator==(const vote_request&) const = default;
};

struct vote_reply {
    bool pre_vote = false;
    std::uint64_t term = 0; ///< Term of the request when granted, otherwise the sender's term.
    bool granted = false;

    bool operator==(const vote_reply&) const = default;
};

/// Entries after `previous`; without entries it is a heartbeat.
struct append_request {
    std::uint64_t term = 0;
    log_position previous;
    std::uint64_t commit = 0;
    std::uint64_t round = 0; ///< Number of the leader's round; echoed in the reply.
    /// Time since the leader last knew that `commit` is the quorum's state; empty when it does not.
    std::optional<core::duration_ms> quorum_age;
    std::vector<log_entry> entries;

    bool operator==(const append_request&) const = default;
};

/// Answer to append_request and snapshot_request.
struct append_reply {
    std::uint64_t term = 0;
    bool matched = false;
    /// When matched, the index up to which the sender's synced log equals the leader's; otherwise
    /// the index after which the leader tries next.
    std::uint64_t index = 0;
    std::uint64_t round = 0;

    bool operator==(const append_reply&) const = default;
};

/// Whole state for a member whose next entry is compacted away.
struct snapshot_request {
    std::uint64_t term = 0;
    std::uint64_t round = 0;
    log_snapshot snapshot;

    bool operator==(const snapshot_request&) const = default;
};

/// Asks the leader to take the sender in as a learner.
struct join_request {
    bool operator==(const join_request&) const = default;
};

using peer_body = std::variant<vote_request, vote_reply, append_request, append_reply,
                               snapshot_request, join_request>;

/// A message with its addresses. A receiver ignores messages to another identity of its host or
/// from another cluster.
struct peer_message {
    std::uint64_t cluster_id = 0;
    member_id from;
    member_id
        to; ///< `storage_id` is 0 in a join_request: the receiver's identity is not known yet.
    peer_body body;

    bool operator==(const peer_message&) const = default;
};

} // namespace hawthornstall::control
