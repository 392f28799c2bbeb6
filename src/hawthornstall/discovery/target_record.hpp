#pragma once

/// What a worker that is not named in any settings says about itself.

#include "hawthornstall/core/ms_clock.hpp"
#include "hawthornstall/core/room.hpp"

#include <cstdint>
#include <string>
#include <tuple>
#include <vector>

namespace hawthornstall::discovery {

/// One announcement of a target; a later one has a larger (incarnation, sequence).
struct target_record {
    std::string id{};
    std::uint64_t incarnation = 0; ///< Start of this life of the target, Unix ms; 0 when not told.
    std::uint64_t sequence = 0;    ///< Grows with each announcement of one incarnation.
    std::string service{};
    std::string address{}; ///< "ip:port".
    std::string zone{};
    std::vector<std::string> labels{};
    core::room capacity{};
    bool draining = false; ///< The target leaves soon and takes no new work.

    bool operator==(const target_record&) const = default;

    [[nodiscard]] bool is_newer_than(const target_record& other) const {
        return std::tie(incarnation, sequence) > std::tie(other.incarnation, other.sequence);
    }
};

} // namespace hawthornstall::discovery
