#pragma once

/// What the owner of a shard knows about one replica.

#include "hawthornstall/journal/messages.hpp"

namespace hawthornstall::journal {

/// Replica as seen by one owner in one epoch.
class owner_peer {
public:
    explicit owner_peer(std::string name) { status.replica = std::move(name); }

    /// Takes the status of a message. Returns false for a message that was overtaken by a newer
    /// one. Another incarnation or generation ends everything known about the replica. A late
    /// message of an earlier incarnation does so too: ignoring it needs an order of incarnations,
    /// and a wrong guess would ignore the replica for good.
    [[nodiscard]] bool update(const replica_status& latest, core::time_ms now);

    /// Forgets what belongs to the previous epoch.
    void reset();

    [[nodiscard]] const std::string& name() const noexcept { return status.replica; }

    replica_status status;
    bool reported = false;        ///< Answered in this epoch.
    bool fenced = false;          ///< Promised this epoch and holds a generation.
    bool synced = false;          ///< Holds this owner's copy or formation; its acks count.
    std::uint64_t applied = 0;    ///< Last append that it acknowledged.
    std::uint64_t confirm_at = 0; ///< Append that a quorum of others must hold before the copy.
    bool is_copied = false;       ///< A copy is under way.
    std::uint64_t formed_incarnation = 0; ///< Incarnation that was asked to join the formation.
    core::time_ms sent_at{};              ///< Last message that waits for an answer.
    core::time_ms heard_at{};
    std::optional<shard_snapshot> records;
};

} // namespace hawthornstall::journal
