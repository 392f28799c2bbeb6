#pragma once

/// What administration requests show.

#include "hawthornstall/core/ms_clock.hpp"
#include "hawthornstall/core/target.hpp"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace hawthornstall::core {

/// One entry host as another one sees it.
struct host_view {
    std::string name;
    std::string zone;
    bool reachable = false;
    bool draining = false;
    std::uint64_t config_revision = 0; ///< Last revision that the host said it applied.
    duration_ms config_age{-1};        ///< Age of its last confirmation; -1 when unknown.
    std::vector<std::string> owned;    ///< Services whose queue it owns in its zone.
};

/// One target as this entry host knows it.
struct target_view {
    target_announcement last_news;
    bool available = false;
    std::string reason; ///< Why it gets no work: "leaving" or "lease expired".
};

/// One service as its owner knows it; only the shards of this host are shown.
struct shard_view {
    std::string service;
    std::string zone;
    bool serving = false;
    bool has_quorum = false;
    std::uint64_t epoch = 0;
    std::uint64_t generation = 0;
    std::uint64_t queued_tasks = 0;
    std::uint64_t running_tasks = 0;
    std::uint64_t ejected_targets = 0;
};

/// One accepted edit.
struct audit_view {
    std::uint64_t revision = 0;
    std::string edit_id;
    std::string service;
    std::string actor;
    std::string team;
    std::uint64_t from_version = 0;
    std::uint64_t to_version = 0;
    time_ms wall_time{};
    std::string host;
};

using admin_view = std::variant<std::vector<host_view>, std::vector<target_view>,
                                std::vector<shard_view>, std::vector<audit_view>>;

/// Which view is wanted.
enum class view_kind : std::uint8_t { hosts, targets, shards, audit };

} // namespace hawthornstall::core
