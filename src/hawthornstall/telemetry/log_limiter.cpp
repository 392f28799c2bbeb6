#include "hawthornstall/telemetry/log_limiter.hpp"

#include <utility>

namespace hawthornstall::telemetry {

std::optional<std::uint64_t> log_limiter::admit(std::string_view event, core::time_ms now) {
    auto& counts = counts_of(event);
    if (counts.written == 0 || now - counts.window_start >= window) {
        counts.window_start = now;
        counts.written = 0;
    }
    if (counts.written == max_records_per_window) {
        ++counts.dropped;
        return std::nullopt;
    }
    ++counts.written;
    return std::exchange(counts.dropped, 0);
}

std::vector<dropped_records> log_limiter::take_dropped(core::time_ms now) {
    std::vector<dropped_records> reports;
    for (auto& [event, counts] : events_) {
        if (counts.dropped > 0 && now - counts.window_start >= window) {
            reports.push_back({.event = event, .count = std::exchange(counts.dropped, 0)});
        }
    }
    return reports;
}

log_limiter::event_counts& log_limiter::counts_of(std::string_view event) {
    const auto found = events_.find(event);
    if (found != events_.end()) {
        return found->second;
    }
    return events_[events_.size() < max_events ? std::string{event} : "other"];
}

} // namespace hawthornstall::telemetry
