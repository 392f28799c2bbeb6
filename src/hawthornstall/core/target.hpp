#pragma once

/// What a target (minion or worker) says about itself.

#include "hawthornstall/core/ms_clock.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace hawthornstall::core {

/// What a target can hold at once. A minion fills in slots and connections, a worker the rest.
struct target_capacity {
    std::uint32_t slots = 0;
    std::uint32_t connections = 0;
    std::uint32_t cores = 0;
    std::uint32_t memory_mb = 0;
    std::uint32_t accelerators = 0;

    bool operator==(const target_capacity&) const = default;
};

/// One announcement. A later one of the same target has a larger (incarnation, sequence).
struct target_announcement {
    std::string name;
    std::uint64_t incarnation = 0; ///< Grows with each start of the target, for example start time.
    std::uint64_t sequence = 0;    ///< Grows with each announcement of one incarnation.
    std::string zone;
    std::string rack;
    std::string address; ///< "ip:port" of the target's HTTP server.
    std::vector<std::string> services;
    target_capacity capacity;
    duration_ms lease{3000}; ///< The target gets no new work once this has passed without news.
    bool leaving = false;    ///< The target finishes what it runs and takes no new work.

    bool operator==(const target_announcement&) const = default;
};

} // namespace hawthornstall::core
