#include "hawthornstall/telemetry/log_limiter.hpp"

#include <utility>

namespace hawthornstall::telemetry {

std::optional<std::uint64_t> log_limiter::admit(std::string_view event, core::time_ms now) {
    auto& usage = usage_of(event);
    if (usage.written == 0 || now - usage.window_start >= window) {
        usage.window_start = now;
        usage.written = 0;
    }
    if (usage.written == burst) {
        ++usage.dropped;
        return std::nullopt;
    }
    ++usage.written;
    return std::exchange(usage.dropped, 0);
}

std::vector<dropped_records> log_limiter::take_dropped(core::time_ms now) {
    std::vector<dropped_records> reports;
    for (auto& [event, usage] : events_) {
        if (usage.dropped > 0 && now - usage.window_start >= window) {
            reports.push_back({.event = event, .count = std::exchange(usage.dropped, 0)});
        }
    }
    return reports;
}

log_limiter::usage& log_limiter::usage_of(std::string_view event) {
    const auto found = events_.find(event);
    if (found != events_.end()) {
        return found->second;
    }
    return events_[events_.size() < max_events ? std::string{event} : "other"];
}

} // namespace hawthornstall::telemetry
