#pragma once

/// A configuration that is replaced as a whole by one with a higher version.

#include "hawthornstall/core/ms_clock.hpp"

#include <cstdint>
#include <string>

namespace hawthornstall::control {

/// Configuration whose version is assigned by its author. It replaces any configuration with a
/// lower version. The content is opaque to the control hosts, which keep it unchanged; it is
/// validated before it is proposed.
struct numbered_config {
    std::uint64_t version = 0; ///< 0 means that there is no configuration.
    std::string content{};
    std::string actor{};       ///< Who sent it, for the audit trail.
    core::time_ms wall_time{}; ///< When it arrived, since the Unix epoch.
    std::string host{};        ///< Control host that received it.

    bool operator==(const numbered_config&) const = default;
};

} // namespace hawthornstall::control
