#pragma once

/// What a process tells operators about its state.

#include "hawthornstall/core/ms_clock.hpp"
#include "hawthornstall/core/resources.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace hawthornstall::status {

/// A host as the asked process sees it.
struct host_row {
    std::string name{};
    std::string zone{}; ///< Empty for a control host.
    bool reachable = false;
    bool draining = false;
    std::string role{};                        ///< For example "scheduler" or "leader".
    std::optional<std::size_t> held_targets{}; ///< Empty when the asked process does not know.
};

/// A target as the asked process sees it.
struct target_row {
    std::string name{};
    std::string zone{};
    std::string address{};
    std::string service{};
    core::resources capacity{};
    std::string holder{};                 ///< Host that holds it; empty when none is known.
    std::optional<std::uint64_t> token{}; ///< Fencing token, where the asked process holds it.
    std::optional<std::size_t> runs{};    ///< Under that token.
    bool available = false;
    std::string reason{}; ///< Why it gets no new runs.
};

/// The configuration in force on the asked process.
struct config_row {
    std::string name{};
    std::string zone{};
    bool reachable = true;
    std::uint64_t version = 0;
    std::uint64_t revision = 0; ///< Place in the configuration log.
};

/// A job that the asked process schedules.
struct job_row {
    std::string id{};
    std::string service{};
    core::duration_ms age{};
    core::duration_ms deadline{};
    std::size_t pending_tasks = 0;
    std::size_t running_tasks = 0;
    std::size_t done_tasks = 0;
    std::vector<std::string> running_on{}; ///< Targets.
    bool ending = false;
};

/// What can be asked.
enum class status_kind : std::uint8_t { hosts, targets, rollout, jobs };

using status_rows = std::variant<std::vector<host_row>, std::vector<target_row>,
                                 std::vector<config_row>, std::vector<job_row>>;

} // namespace hawthornstall::status
