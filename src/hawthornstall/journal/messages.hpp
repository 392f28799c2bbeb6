#pragma once

/// Messages between the owner of a shard and the journal replicas of its zone.

#include "hawthornstall/journal/shard_state.hpp"

#include <variant>

namespace hawthornstall::journal {

/// One process that owns or wants to own a shard. The incarnation differs after each restart.
struct owner_identity {
    std::string host;
    std::uint64_t incarnation = 0;

    bool operator==(const owner_identity&) const = default;
};

/// Which owner speaks, under which epoch.
struct owner_term {
    shard_id shard;
    epoch_number epoch = 0;
    owner_identity owner;

    bool operator==(const owner_term&) const = default;
};

/// Asks a replica to refuse lower epochs from now on, and for its status.
struct fence {
    owner_term term;
    bool wants_records = false; ///< Also asks for the records, to take ownership.

    bool operator==(const fence&) const = default;
};

/// Appends the records of one or more jobs, or none to confirm the quorum. Applied in order of
/// `sequence`.
struct append {
    owner_term term;
    generation_number generation = 0;
    std::uint64_t sequence = 0; ///< 1 for the first one after the owner's copy at sequence 0.
    core::time_ms forget_before{};
    std::vector<job_records> records;

    bool operator==(const append&) const = default;
};

/// Replaces the state of a replica: the write-back of a new owner, the repair of a replica that
/// lags, and the recovery of one that restarted without state.
struct copy {
    owner_term term;
    generation_number generation = 0;
    std::uint64_t incarnation = 0; ///< Of the replica; any other one refuses the copy.
    std::uint64_t sequence = 0;    ///< Appends up to this one are contained.
    shard_snapshot state;

    bool operator==(const copy&) const = default;
};

/// What a replica says about its part of a shard.
struct replica_status {
    std::string replica;
    std::uint64_t incarnation = 0;    ///< Differs after each restart of the replica.
    generation_number generation = 0; ///< 0 while recovering.
    bool used = false;                ///< Records of this generation may be held.
    epoch_number promised = 0;        ///< Lower epochs are refused.

    bool operator==(const replica_status&) const = default;
};

/// Makes a replica the member of a new, empty generation if it is still in the expected state.
struct form {
    owner_term term;
    generation_number generation = 0;
    replica_status expected;

    bool operator==(const form&) const = default;
};

/// Answer to a fence.
struct fence_reply {
    shard_id shard;
    epoch_number epoch = 0; ///< Of the fence that is answered.
    replica_status status;
    bool accepted = false; ///< The epoch is promised. A recovering replica never accepts.
    std::optional<shard_snapshot> records;

    bool operator==(const fence_reply&) const = default;
};

/// Answer to an append, a copy or a form.
struct ack {
    shard_id shard;
    epoch_number epoch = 0; ///< Of the message that is answered.
    replica_status status;
    bool accepted = false; ///< The replica holds the owner's appends up to `applied`.
    std::uint64_t applied = 0;

    bool operator==(const ack&) const = default;
};

/// What an owner sends.
using owner_message = std::variant<fence, append, copy, form>;

/// What a replica answers.
using replica_message = std::variant<fence_reply, ack>;

} // namespace hawthornstall::journal
