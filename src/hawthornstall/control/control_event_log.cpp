#include "hawthornstall/control/control_event_log.hpp"

namespace hawthornstall::control {

void control_event_log::operator()(const control_event& event) {
    using kind = control_event::kind;
    const std::string_view detail{event.detail};
    switch (event.what) {
    case kind::folder_damaged:
        write({.level = core::log_level::error, .name = "data_folder_damaged"},
              {{"reason", detail}, {"moved_to", std::string_view{event.subject}}});
        break;
    case kind::log_truncated:
        write({.name = "log_truncated"}, {{"reason", detail}});
        break;
    case kind::log_complete:
        write({.name = "log_complete"});
        break;
    case kind::role_changed:
        write({.name = "role_changed"},
              {{"role", std::string_view{event.subject}}, {"detail", detail}});
        break;
    case kind::members_changed:
        write({.name = "members_changed"}, {{"detail", detail}});
        break;
    case kind::peer_reachable:
        write({.name = "peer_reachable", .peer = event.subject});
        break;
    case kind::peer_unreachable:
        write(
            {.level = core::log_level::warning, .name = "peer_unreachable", .peer = event.subject},
            {{"detail", detail}});
        break;
    case kind::storage_failed:
        write({.level = core::log_level::error, .name = "storage_failed"}, {{"error", detail}});
        break;
    case kind::storage_reopened:
        write({.name = "storage_reopened"}, {{"folder", detail}});
        break;
    case kind::storage_slow:
        write({.level = core::log_level::warning, .name = "storage_slow"}, {{"detail", detail}});
        break;
    }
}

void control_event_log::operator()(const gateway_event& event) {
    metrics_->observe(event.what, event.time);
    log_.write({.name = event.what},
               {{"detail", std::string_view{event.detail}}, {"status", event.status}});
}

void control_event_log::write(const telemetry::log_event& event,
                              std::initializer_list<telemetry::log_field> fields) {
    metrics_->observe(event.name);
    log_.write(event, fields);
}

} // namespace hawthornstall::control
