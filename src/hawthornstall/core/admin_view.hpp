#pragma once

/// Rows of the views that administration requests return.

#include "hawthornstall/core/ms_clock.hpp"
#include "hawthornstall/core/target.hpp"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace hawthornstall::core {

/// One entry host as seen by the entry host that answers the request.
struct host_view {
    std::string name;
    std::string zone;
    bool reachable = false;
    bool draining = false;
    std::uint64_t config_revision = 0; ///< Latest revision that the host reported as applied.
    /// Time since the host's configuration was last confirmed as the quorum's; -1 when unknown.
    duration_ms config_age{-1};
    std::vector<std::string> owned; ///< Services whose shard in its zone it owns.
};

/// One target as registered on the entry host that answers the request.
struct target_view {
    target_announcement last_announcement; ///< Latest announcement.
    bool available = false;                ///< Whether it gets new work.
    std::string reason;                    ///< Why it gets none: "leaving" or "lease expired".
};

/// The shard of one service in one zone. An entry host lists only the shards that it owns.
struct shard_view {
    std::string service;
    std::string zone;
    bool serving = false;         ///< Whether the owner can record and run jobs.
    bool has_quorum = false;      ///< Whether the owner reaches a quorum of journal replicas.
    std::uint64_t epoch = 0;      ///< Fencing token of the owner; replicas refuse a lower one.
    std::uint64_t generation = 0; ///< Generation of the journal.
    std::uint64_t queued_tasks = 0;
    std::uint64_t running_tasks = 0;
    std::uint64_t ejected_targets = 0; ///< Targets excluded by outlier detection.
};

/// One accepted edit of a service document.
struct audit_view {
    std::uint64_t revision = 0; ///< Revision of the configuration.
    std::string edit_id;
    std::string service;
    std::string actor; ///< Authenticated name of the person or program.
    std::string team;
    std::uint64_t from_version = 0;
    std::uint64_t to_version = 0;
    time_ms wall_time{};
    std::string host; ///< Entry host that received the edit.
};

/// Rows of one view, one alternative per view_kind.
using admin_view = std::variant<std::vector<host_view>, std::vector<target_view>,
                                std::vector<shard_view>, std::vector<audit_view>>;

/// View that an administration request asks for.
enum class view_kind : std::uint8_t { hosts, targets, shards, audit };

} // namespace hawthornstall::core
