#pragma once

/// Members, log entries and persistent state of the replicated configuration log.

#include "hawthornstall/control/document_edit.hpp"
#include "hawthornstall/control/document_store.hpp"
#include "hawthornstall/control/numbered_config.hpp"
#include "hawthornstall/control/zone_drains.hpp"

#include <compare>
#include <cstdint>
#include <limits>
#include <optional>
#include <string>
#include <tuple>
#include <variant>
#include <vector>

namespace hawthornstall::control {

/// Identity of a member: a control host and its data folder. A host that loses its data folder gets
/// a new `storage_id` and rejoins as a new member, so that it cannot vote as the member whose votes
/// and log entries it has lost.
struct member_id {
    std::string host;
    std::uint64_t storage_id = 0; ///< Random, set when the folder is created; 0 is never a member.

    bool operator==(const member_id&) const = default;
    bool operator<(const member_id& other) const {
        return std::tie(host, storage_id) < std::tie(other.host, other.storage_id);
    }
};

/// Members of the cluster. Learners receive the log and do not count towards a quorum.
struct member_set {
    std::vector<member_id> voters;
    std::vector<member_id> learners;

    bool operator==(const member_set&) const = default;
};

/// Appended by each new leader, because entries of earlier terms may only be committed together
/// with an entry of the leader's own term.
struct no_operation {
    bool operator==(const no_operation&) const = default;
};

/// Content of a log entry. The order of the alternatives is part of the file and wire formats, so
/// new ones must be added at the end.
using entry_payload =
    std::variant<no_operation, edit_command, member_set, numbered_config, zone_drain_order>;

/// Position in the log. Term 0 with index 0 is the position before the first entry.
struct log_position {
    std::uint64_t term = 0;
    std::uint64_t index = 0;

    /// Orders by term, then by index: the later of two logs is the one whose last entry is later.
    // clang-tidy takes the 0 of the generated comparisons for a null pointer.
    auto operator<=>(const log_position&) const = default; // NOLINT(modernize-use-nullptr)
};

/// Position up to which a member has synced its log, as it stands in the member's files.
struct synced_position {
    std::uint64_t sequence = 0; ///< Grows with each write of the position.
    log_position position;
};

/// A replicated change and its position in the log.
struct log_entry {
    log_position position;
    entry_payload payload;

    bool operator==(const log_entry&) const = default;
};

/// Cluster of a host that has lost its membership and does not know its cluster. Such a host is not
/// a new one: it neither creates a cluster nor lets another host do so.
constexpr std::uint64_t unknown_cluster_id = std::numeric_limits<std::uint64_t>::max();

/// Whether a member with this cluster_id belongs to a cluster, and so may hold entries of it.
[[nodiscard]] constexpr bool is_cluster(std::uint64_t cluster_id) {
    return cluster_id != 0 && cluster_id != unknown_cluster_id;
}

/// State besides the log that a member makes durable before it sends messages that depend on it.
struct hard_state {
    member_id self;
    /// Random, set when the cluster is created; 0 until joined, or unknown_cluster_id.
    std::uint64_t cluster_id = 0;
    std::uint64_t term = 0;
    std::optional<member_id> voted_for; ///< Candidate that this member voted for in `term`.

    bool operator==(const hard_state&) const = default;
};

/// Replicated state after all entries up to and including `position`.
struct log_snapshot {
    log_position position;
    member_set members;
    store_snapshot state;

    bool operator==(const log_snapshot&) const = default;
};

} // namespace hawthornstall::control
