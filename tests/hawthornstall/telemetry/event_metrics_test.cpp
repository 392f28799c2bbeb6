#include "hawthornstall/telemetry/event_metrics.hpp"

#include <doctest/doctest.h>

#include <array>
#include <optional>
#include <string>
#include <string_view>

namespace hawthornstall::telemetry {
namespace {

/// An event that is observed twice, and a line that the rendered metrics must contain.
struct event_case {
    std::string_view event;
    std::optional<core::duration_ms> time;
    std::string_view line;
};

constexpr std::array event_cases{
    event_case{"peer_reachable", std::nullopt,
               R"(hawthornstall_events_total{event="peer_reachable",role="entry"} 2)"},
    event_case{"job_answered", core::duration_ms{120},
               R"(hawthornstall_events_total{event="job_answered",role="entry"} 2)"},
    event_case{"job_answered", core::duration_ms{120},
               R"(hawthornstall_event_time_seconds_count{event="job_answered",role="entry"} 2)"},
    event_case{
        "job_answered", core::duration_ms{120},
        R"(hawthornstall_event_time_seconds_bucket{event="job_answered",role="entry",le="0.1"} 0)"},
    event_case{
        "job_answered", core::duration_ms{120},
        R"(hawthornstall_event_time_seconds_bucket{event="job_answered",role="entry",le="0.2"} 2)"},
};

// Guards against counts that are lost and against times in the wrong unit.
TEST_CASE("events are counted and timed under their names") {
    for (const auto& item : event_cases) {
        CAPTURE(item.line);
        event_metrics metrics{"entry"};
        metrics.observe(item.event, item.time);
        metrics.observe(item.event, item.time);
        CHECK(metrics.render().find(std::string{item.line} + "\n") != std::string::npos);
    }
}

// Guards against a histogram for an event without a time, which would report zero observations.
TEST_CASE("an event without a time has no histogram") {
    event_metrics metrics{"entry"};
    metrics.observe("peer_reachable");
    metrics.set_dropped_log_lines(3);
    const auto text = metrics.render();
    CHECK(text.find("hawthornstall_event_time_seconds_count") == std::string::npos);
    CHECK(text.find("hawthornstall_log_lines_dropped{role=\"entry\"} 3\n") != std::string::npos);
}

// Guards against message counts that are added to the earlier ones although they are totals.
TEST_CASE("the counters of messages show the latest totals") {
    event_metrics metrics{"entry"};
    for (const std::uint64_t messages : {2U, 5U}) {
        metrics.set_traffic({"sent", "start_run", {.messages = messages, .bytes = 10 * messages}});
    }
    metrics.set_traffic({"received", "start_run", {.messages = 1, .bytes = 0}});
    const auto text = metrics.render();
    for (
        const std::string_view line :
        {R"(hawthornstall_traffic_messages_total{direction="sent",kind="start_run",role="entry"} 5)",
         R"(hawthornstall_traffic_bytes_total{direction="sent",kind="start_run",role="entry"} 50)",
         R"(hawthornstall_traffic_messages_total{direction="received",kind="start_run",role="entry"} 1)"}) {
        CAPTURE(line);
        CHECK(text.find(std::string{line} + "\n") != std::string::npos);
    }
}

} // namespace
} // namespace hawthornstall::telemetry
