#pragma once

/// Replication progress of one replica, as the owner of a shard tracks it.

#include "hawthornstall/journal/messages.hpp"

namespace hawthornstall::journal {

/// Status of one replica and what has been sent to it, as known to one owner in one epoch.
class replica_progress {
public:
    explicit replica_progress(std::string name) { status.replica = std::move(name); }

    /// Takes the status from an answer of the replica. Returns false if the answer is older than
    /// the known status. A change of incarnation or generation discards all earlier progress.
    /// Incarnations are not ordered, so a late message of an earlier incarnation is taken for a new
    /// one and also discards the progress. Ignoring it instead could ignore a restarted replica
    /// forever.
    [[nodiscard]] bool update(const replica_status& latest, core::time_ms now);

    /// Discards the progress, for a new epoch, incarnation or generation.
    void reset();

    [[nodiscard]] const std::string& name() const noexcept { return status.replica; }

    replica_status status;
    bool has_answered = false; ///< Has answered in this epoch.
    bool fenced = false;       ///< Promised this epoch and belongs to a generation.
    bool in_sync = false;      ///< Accepted this owner's snapshot or formation; its acks count.
    std::uint64_t applied = 0; ///< Last acknowledged append.
    /// Append that a quorum of the other replicas must hold before a repair sends the snapshot; 0
    /// if no repair has begun.
    std::uint64_t barrier_sequence = 0;
    bool snapshot_sent = false;           ///< Since the last reset().
    std::uint64_t formed_incarnation = 0; ///< Incarnation that was sent form_generation.
    core::time_ms sent_at{};  ///< Start of the wait for an answer; resends depend on it.
    core::time_ms heard_at{}; ///< When the last answer arrived.
    std::optional<shard_snapshot> snapshot; ///< From the answer to the fence.
};

} // namespace hawthornstall::journal
