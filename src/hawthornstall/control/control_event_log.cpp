#include "hawthornstall/control/control_event_log.hpp"

#include <csignal>
#include <unistd.h>

namespace hawthornstall::control {

void control_event_log::operator()(const control_event& event) {
    using kind = control_event::kind;
    switch (event.what) {
    case kind::folder_damaged:
        log_.write({.level = core::log_level::error, .name = "data_folder_damaged"},
                   {{"moved_to", std::string_view{event.detail}}});
        break;
    case kind::role_changed:
        log_.write({.name = "role_changed"}, {{"role", std::string_view{event.detail}}});
        break;
    case kind::peer_reachable:
        log_.write({.name = "peer_reachable", .peer = event.detail});
        break;
    case kind::peer_unreachable:
        log_.write(
            {.level = core::log_level::warning, .name = "peer_unreachable", .peer = event.detail});
        break;
    case kind::failed:
        log_.write({.level = core::log_level::error, .name = "storage_failed"},
                   {{"error", std::string_view{event.detail}}});
        failed_ = true;
        kill(getpid(), SIGTERM);
        break;
    }
}

} // namespace hawthornstall::control
