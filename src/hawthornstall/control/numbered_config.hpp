#pragma once

/// A whole configuration that its author numbers: the highest number wins.

#include "hawthornstall/core/ms_clock.hpp"

#include <cstdint>
#include <string>

namespace hawthornstall::control {

/// Replaces any configuration with a lower version. The content is opaque to the control hosts,
/// which keep it byte for byte; it is checked before it is proposed.
struct numbered_config {
    std::uint64_t version = 0; ///< 0 is no configuration.
    std::string content{};
    std::string actor{};       ///< Who sent it, for the audit trail.
    core::time_ms wall_time{}; ///< When it arrived, since the Unix epoch.
    std::string host{};        ///< Control host through which it came.

    bool operator==(const numbered_config&) const = default;
};

} // namespace hawthornstall::control
