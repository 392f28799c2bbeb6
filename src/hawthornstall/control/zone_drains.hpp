#pragma once

/// Availability zones that are drained: nothing is started on their targets.

#include "hawthornstall/core/ms_clock.hpp"

#include <algorithm>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace hawthornstall::control {

/// The drained zones. It is part of the replicated configuration.
struct zone_drains {
    std::uint64_t revision = 0;       ///< Of the configuration when the set changed last; 0: never.
    std::vector<std::string> zones{}; ///< Sorted, without duplicates.

    [[nodiscard]] bool contains(std::string_view zone) const {
        return std::ranges::binary_search(zones, zone);
    }

    bool operator==(const zone_drains&) const = default;
};

/// An operator's order to drain a zone or to end its drain. Idempotent.
struct zone_drain_order {
    std::string zone{};
    bool drained = false;
    std::string actor{};       ///< Who sent it, for the audit trail.
    core::time_ms wall_time{}; ///< When it arrived, since the Unix epoch.
    std::string host{};        ///< Control host that received it.

    bool operator==(const zone_drain_order&) const = default;
};

} // namespace hawthornstall::control
