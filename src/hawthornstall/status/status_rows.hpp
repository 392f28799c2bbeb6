#pragma once

/// Rows in which a process reports its state to operators. Each row shows the view of the queried
/// process, which may differ from that of another one.

#include "hawthornstall/core/ms_clock.hpp"
#include "hawthornstall/core/resources.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace hawthornstall::status {

/// A host as seen by the queried process.
struct host_row {
    std::string name{};
    std::string zone{}; ///< Empty for a control host.
    bool reachable = false;
    bool draining = false;
    std::string role{}; ///< For example "scheduler" or "leader".
    /// Number of targets whose leases the host holds; empty when the queried process does not know.
    std::optional<std::size_t> held_targets{};
};

/// A target as seen by the queried process.
struct target_row {
    std::string name{};
    std::string zone{};
    std::string address{};
    std::string service{};
    core::resources capacity{};
    std::string holder{}; ///< Entry host that holds its lease; empty when unknown.
    /// Fencing token of the lease, if the queried process holds it.
    std::optional<std::uint64_t> token{};
    std::optional<std::size_t> runs{}; ///< Number of runs under that token.
    bool available = false;
    std::string reason{}; ///< Why the target receives no new runs.
};

/// The configuration in force on the queried process.
struct config_row {
    std::string name{};
    std::string zone{};
    bool reachable = true;
    std::uint64_t version = 0;
    std::uint64_t revision = 0; ///< Position in the configuration log.
};

/// A job that the queried process schedules.
struct job_row {
    std::string id{};
    std::string service{};
    core::duration_ms age{};
    core::duration_ms deadline{};
    std::size_t pending_tasks = 0;
    std::size_t running_tasks = 0;
    std::size_t done_tasks = 0;
    std::vector<std::string> running_on{}; ///< Names of targets.
    bool ending = false;
};

/// An availability zone as seen by the queried process.
struct zone_row {
    std::string name{};
    bool drained = false;       ///< Nothing is started on its targets.
    std::uint64_t revision = 0; ///< Place in the configuration log of the last drain of any zone.
};

/// Kinds of rows that can be queried, in the order of the alternatives of status_rows.
enum class status_kind : std::uint8_t { hosts, targets, rollout, jobs, zones };

/// Rows of one kind.
using status_rows =
    std::variant<std::vector<host_row>, std::vector<target_row>, std::vector<config_row>,
                 std::vector<job_row>, std::vector<zone_row>>;

} // namespace hawthornstall::status
