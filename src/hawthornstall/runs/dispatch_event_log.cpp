#include "hawthornstall/runs/dispatch_event_log.hpp"

namespace hawthornstall::runs {

void dispatch_event_log::operator()(const dispatch_event& event) {
    metrics_->observe(event.name, event.age);
    for (const auto& row : event.traffic) {
        metrics_->set_traffic(row);
    }
    const telemetry::log_event record{
        .level = event.level, .name = event.name, .peer = event.peer, .id = event.id};
    if (event.age) {
        log_.write(record,
                   {{"detail", std::string_view{event.detail}}, {"age_ms", event.age->count()}});
    } else {
        log_.write(record, {{"detail", std::string_view{event.detail}}});
    }
}

} // namespace hawthornstall::runs
