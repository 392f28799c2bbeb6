#pragma once

/// Announcement of a worker that registers itself instead of being listed in the configuration.

#include "hawthornstall/core/ms_clock.hpp"
#include "hawthornstall/core/resources.hpp"

#include <cstdint>
#include <string>
#include <tuple>
#include <vector>

namespace hawthornstall::discovery {

/// Announcement of a target. A later one of the same target has a larger (incarnation, sequence).
struct target_record {
    std::string id{};
    std::uint64_t incarnation = 0; ///< Start time of the target in Unix ms; 0 if unknown.
    std::uint64_t sequence = 0;    ///< Grows with each announcement of one incarnation.
    std::string service{};
    std::string address{}; ///< "ip:port".
    std::string zone{};
    std::vector<std::string> labels{};
    core::resources capacity{};
    bool draining = false; ///< The target will leave soon and takes no new work.
    /// How much longer runs take longer than usual, since the target has just started.
    core::duration_ms cold_for{};

    bool operator==(const target_record&) const = default;

    [[nodiscard]] bool is_newer_than(const target_record& other) const {
        return std::tie(incarnation, sequence) > std::tie(other.incarnation, other.sequence);
    }
};

} // namespace hawthornstall::discovery
