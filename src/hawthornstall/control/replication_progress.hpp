#pragma once

/// Replication progress of the members, as their leader knows it.

#include "hawthornstall/control/consensus_types.hpp"
#include "hawthornstall/core/ms_clock.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <span>
#include <vector>

namespace hawthornstall::control {

/// Replication progress of one member.
struct member_progress {
    std::uint64_t next_index = 1;     ///< First entry to send.
    std::uint64_t match_index = 0;    ///< Last entry known to be synced by the member.
    std::uint64_t matched_round = 0;  ///< Latest confirmation round whose request it accepted.
    std::uint64_t answered_round = 0; ///< Latest confirmation round that it answered.
    std::uint64_t sent_round = 0;     ///< Latest confirmation round that was sent to it.
    /// Commit index in the latest append request that continued its log, limited to the last entry
    /// that the request covered.
    std::uint64_t sent_commit = 0;
    /// Last entry of the entries or the snapshot that are in flight; 0 when there is nothing.
    std::uint64_t in_flight_index = 0;
    std::uint64_t in_flight_round = 0;  ///< Confirmation round that was sent with them.
    bool is_snapshot_in_flight = false; ///< Whether it is a snapshot.
    core::time_ms resend_at{};          ///< When they count as lost without any answer.
    /// Latest reply, or the first call of silent_members() after it became a member.
    std::optional<core::time_ms> heard_at{};
};

/// Progress of all members during one term of a leader.
class replication_progress {
public:
    /// Starts a term, in which no entry is known to be replicated yet.
    void start(const member_set& members, std::uint64_t last_index, core::time_ms now);

    /// Adopts a changed set of members; remaining members keep their progress.
    void set_members(const member_set& members, std::uint64_t last_index);

    /// Null when `member` is not a member.
    [[nodiscard]] member_progress* find(const member_id& member);
    [[nodiscard]] const member_progress* find(const member_id& member) const;

    /// Starts a confirmation round, whose append requests confirm the leader once a quorum has
    /// answered them. Returns its number.
    std::uint64_t start_round(core::time_ms now);
    [[nodiscard]] std::uint64_t last_round() const noexcept { return last_round_; }

    /// Largest index that is synced on a quorum of `voters`.
    [[nodiscard]] std::uint64_t quorum_match_index(std::span<const member_id> voters) const;

    /// Latest round that a quorum of `voters` answered.
    [[nodiscard]] std::uint64_t quorum_round(std::span<const member_id> voters) const;

    /// Start of the latest round that a quorum answered; this member still led at that time.
    [[nodiscard]] core::time_ms confirmed_at(std::span<const member_id> voters);

    /// Whether a snapshot is in flight to a member that has replied within `limit`.
    [[nodiscard]] bool has_snapshot_in_flight(core::duration_ms limit, core::time_ms now) const;

    /// Members that have not replied for longer than `limit`, which includes the leader itself.
    [[nodiscard]] std::vector<member_id> silent_members(core::duration_ms limit, core::time_ms now);

private:
    struct round_start {
        std::uint64_t round = 0;
        core::time_ms time{};
    };

    std::map<member_id, member_progress> members_;
    std::deque<round_start> rounds_; ///< The latest confirmed round and all later ones.
    std::uint64_t last_round_ = 0;
};

} // namespace hawthornstall::control
