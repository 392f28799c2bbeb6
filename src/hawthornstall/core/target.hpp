#pragma once

/// Announcements by which a target (minion or worker) registers and renews its lease.

#include "hawthornstall/core/ms_clock.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace hawthornstall::core {

/// Capacity of a target. A minion sets slots and connections, a worker the other members.
struct target_capacity {
    std::uint32_t slots = 0;
    std::uint32_t connections = 0;
    std::uint32_t cores = 0;
    std::uint32_t memory_mb = 0;
    std::uint32_t accelerators = 0;

    bool operator==(const target_capacity&) const = default;
};

/// One announcement of a target. The pair (incarnation, sequence) orders the announcements of one
/// target: the larger pair is the later one.
struct target_announcement {
    std::string name;
    std::uint64_t incarnation = 0; ///< Increases with each start of the target, e.g. start time.
    std::uint64_t sequence = 0;    ///< Increases with each announcement of one incarnation.
    std::string zone;
    std::string rack;
    std::string address; ///< "ip:port" of the target's HTTP server.
    std::vector<std::string> services;
    target_capacity capacity;
    /// The target gets no new work once this time has passed since its latest announcement.
    duration_ms lease{3000};
    bool leaving = false; ///< The target drains: it finishes its running tasks and takes no more.

    bool operator==(const target_announcement&) const = default;
};

} // namespace hawthornstall::core
