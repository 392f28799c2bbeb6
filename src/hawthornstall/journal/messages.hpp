#pragma once

/// Messages between the owner of a shard and the journal replicas of its zone.

#include "hawthornstall/journal/shard_state.hpp"

#include <variant>

namespace hawthornstall::journal {

/// Process that owns a shard or is a candidate for it. The incarnation differs after each restart.
struct owner_identity {
    std::string host;
    std::uint64_t incarnation = 0;

    bool operator==(const owner_identity&) const = default;
};

/// Sender of an owner's message, and the epoch under which it acts.
struct owner_term {
    shard_id shard;
    epoch_number epoch = 0;
    owner_identity owner;

    bool operator==(const owner_term&) const = default;
};

/// Asks a replica to promise this epoch, so that it refuses lower ones, and for its status.
struct fence {
    owner_term term;
    bool wants_snapshot = false; ///< Asks for a snapshot too, to take ownership.

    bool operator==(const fence&) const = default;
};

/// Appends the records of one or more jobs. An append without records confirms that a quorum still
/// accepts the owner. Appends are applied in order of `sequence`.
struct append {
    owner_term term;
    generation_number generation = 0;
    std::uint64_t sequence = 0;    ///< 1 for the first one after the snapshot of sequence 0.
    core::time_ms forget_before{}; ///< Expiry bound: submissions issued earlier are dropped.
    std::vector<job_records> records;

    bool operator==(const append&) const = default;
};

/// Replaces the state of a replica. Sent when a new owner writes the merged state back, when a
/// replica lags too far behind, and when a replica has restarted without state.
struct install_snapshot {
    owner_term term;
    generation_number generation = 0;
    std::uint64_t incarnation = 0; ///< Of the replica; others refuse the snapshot.
    std::uint64_t sequence = 0;    ///< Last append that the snapshot contains.
    shard_snapshot state;

    bool operator==(const install_snapshot&) const = default;
};

/// Status of a replica for one shard.
struct replica_status {
    std::string replica;
    std::uint64_t incarnation = 0;    ///< Differs after each restart of the replica.
    generation_number generation = 0; ///< 0 while the replica is recovering.
    bool may_hold_records = false;    ///< Accepted an append or snapshot of `generation`.
    epoch_number promised = 0;        ///< Highest promised epoch; lower ones are refused.

    bool operator==(const replica_status&) const = default;
};

/// Makes a replica a member of a new, empty generation if its status is still the expected one.
struct form_generation {
    owner_term term;
    generation_number generation = 0;
    replica_status expected;

    bool operator==(const form_generation&) const = default;
};

/// Answer to a fence.
struct fence_reply {
    shard_id shard;
    epoch_number epoch = 0; ///< Of the fence being answered.
    replica_status status;
    bool accepted = false; ///< The epoch is promised. A recovering replica never accepts.
    std::optional<shard_snapshot> snapshot;

    bool operator==(const fence_reply&) const = default;
};

/// Answer to an append, an install_snapshot or a form_generation.
struct ack {
    shard_id shard;
    epoch_number epoch = 0; ///< Of the message being answered.
    replica_status status;
    bool accepted = false; ///< The replica holds the owner's appends up to `applied`.
    std::uint64_t applied = 0;

    bool operator==(const ack&) const = default;
};

/// Message from an owner to a replica.
using owner_message = std::variant<fence, append, install_snapshot, form_generation>;

/// Answer of a replica.
using replica_message = std::variant<fence_reply, ack>;

} // namespace hawthornstall::journal
