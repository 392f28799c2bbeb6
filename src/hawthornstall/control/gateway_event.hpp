#pragma once

/// Events of the gateway of a control host.

#include "hawthornstall/core/ms_clock.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace hawthornstall::control {

/// Event of the gateway that is logged and counted.
struct gateway_event {
    std::string_view what{}; ///< Name of the event, for example "config_put".
    std::string detail{};
    int status = 0;                          ///< HTTP status of the answer; 0 without one.
    std::optional<core::duration_ms> time{}; ///< Since the request arrived, once it is answered.
};

} // namespace hawthornstall::control
