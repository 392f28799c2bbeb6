#include "hawthornstall/telemetry/event_metrics.hpp"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <functional>
#include <map>
#include <mutex>

namespace hawthornstall::telemetry {
namespace detail {

/// Upper bounds of the buckets in seconds. Calls of targets take about a millisecond, jobs up to
/// some seconds.
const prometheus::Histogram::BucketBoundaries event_time_bounds{
    0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 0.75, 1, 1.5, 2.5, 5, 10};

/// Time series of one event.
struct event_series {
    prometheus::Counter* count = nullptr;
    prometheus::Histogram* time = nullptr; ///< Null until a time is observed.
};

} // namespace detail

struct event_metrics::state {
    explicit state(std::string_view name) : role(name) {}

    prometheus::Labels labels(std::string_view event) const {
        return {{"role", role}, {"event", std::string{event}}};
    }

    std::string role;
    prometheus::Registry registry;
    prometheus::Family<prometheus::Counter>& counts = prometheus::BuildCounter()
                                                          .Name("hawthornstall_events_total")
                                                          .Help("Decisions and changes by kind.")
                                                          .Register(registry);
    prometheus::Family<prometheus::Histogram>& times =
        prometheus::BuildHistogram()
            .Name("hawthornstall_event_time_seconds")
            .Help("Time from the arrival of a job, or the start of a call, to the event.")
            .Register(registry);
    prometheus::Family<prometheus::Counter>& traffic_messages =
        prometheus::BuildCounter()
            .Name("hawthornstall_traffic_messages_total")
            .Help("Messages by direction and kind.")
            .Register(registry);
    prometheus::Family<prometheus::Counter>& traffic_bytes =
        prometheus::BuildCounter()
            .Name("hawthornstall_traffic_bytes_total")
            .Help("Bytes of messages by direction and kind, without headers of HTTP, TCP and IP.")
            .Register(registry);
    prometheus::Gauge& dropped_log_lines =
        prometheus::BuildGauge()
            .Name("hawthornstall_log_lines_dropped")
            .Help("Log lines dropped because the output was too slow.")
            .Register(registry)
            .Add({{"role", role}});

    std::mutex mutex;
    std::map<std::string, detail::event_series, std::less<>> events;
};

namespace detail {

/// Raises a counter to `total`. Totals never fall while the process lives.
void raise_to(prometheus::Counter& counter, std::uint64_t total) {
    counter.Increment(static_cast<double>(total) - counter.Value());
}

} // namespace detail

event_metrics::event_metrics(std::string_view role) : state_(std::make_unique<state>(role)) {}
event_metrics::~event_metrics() = default;

void event_metrics::observe(std::string_view event, std::optional<core::duration_ms> time) {
    const std::lock_guard lock{state_->mutex};
    auto found = state_->events.find(event);
    if (found == state_->events.end()) {
        found = state_->events.emplace(event, detail::event_series{}).first;
        found->second.count = &state_->counts.Add(state_->labels(event));
    }
    auto& series = found->second;
    series.count->Increment();
    if (time) {
        if (series.time == nullptr) {
            series.time = &state_->times.Add(state_->labels(event), detail::event_time_bounds);
        }
        series.time->Observe(std::chrono::duration<double>{*time}.count());
    }
}

void event_metrics::set_traffic(const core::traffic_row& row) {
    const prometheus::Labels labels{{"role", state_->role},
                                    {"direction", std::string{row.direction}},
                                    {"kind", std::string{row.kind}}};
    const std::lock_guard lock{state_->mutex};
    detail::raise_to(state_->traffic_messages.Add(labels), row.count.messages);
    detail::raise_to(state_->traffic_bytes.Add(labels), row.count.bytes);
}

void event_metrics::set_dropped_log_lines(std::uint64_t lines) {
    state_->dropped_log_lines.Set(static_cast<double>(lines));
}

std::string event_metrics::render() const {
    return prometheus::TextSerializer{}.Serialize(state_->registry.Collect());
}

} // namespace hawthornstall::telemetry
