#include "hawthornstall/telemetry/entry_metrics.hpp"

#include <doctest/doctest.h>

#include <array>
#include <string>
#include <string_view>

namespace hawthornstall::telemetry {
namespace {

// Guards against metrics that a scraper does not find under the documented names.
TEST_CASE("metrics are rendered under their documented names") {
    entry_metrics metrics;
    const auto service = metrics.for_service("draws");
    service.observe_response(core::outcome_class::answered, core::duration_ms{120});
    service.observe_response(core::outcome_class::may_have_run, core::duration_ms{90'000});
    service.observe_queue_wait(core::duration_ms{7});
    service.set_document_version(12);
    service.set_epoch(3);
    metrics.count_sent(message_purpose::membership, 2, 140);
    metrics.count_wasted(waste_cause::lost_hedge);
    metrics.set_configuration_age(core::duration_ms{1500});
    metrics.set_dropped_log_lines(4);
    const auto text = metrics.render();
    constexpr std::array<std::string_view, 13> lines{
        R"(hawthornstall_requests_total{outcome="answered",service="draws"} 1)",
        R"(hawthornstall_requests_total{outcome="failed",service="draws"} 0)",
        R"(hawthornstall_response_time_seconds_bucket{service="draws",le="0.2"} 1)",
        R"(hawthornstall_response_time_seconds_bucket{service="draws",le="60"} 1)",
        R"(hawthornstall_response_time_seconds_count{service="draws"} 2)",
        R"(hawthornstall_queue_wait_seconds_bucket{service="draws",le="0.01"} 1)",
        R"(hawthornstall_document_version{service="draws"} 12)",
        R"(hawthornstall_ownership_epoch{service="draws"} 3)",
        R"(hawthornstall_messages_sent_total{purpose="membership"} 2)",
        R"(hawthornstall_message_bytes_sent_total{purpose="membership"} 140)",
        R"(hawthornstall_messages_wasted_total{cause="lost_hedge"} 1)",
        R"(hawthornstall_configuration_age_seconds 1.5)",
        R"(hawthornstall_log_lines_dropped 4)",
    };
    for (const auto line : lines) {
        CAPTURE(line);
        CHECK(text.find(std::string{line} + "\n") != std::string::npos);
    }
}

// Guards against memory use and scrape sizes that grow with the number of services ever seen.
TEST_CASE("the number of service labels is bounded") {
    entry_metrics metrics;
    for (std::size_t index = 0; index < 10 * entry_metrics::max_services; ++index) {
        metrics.for_service("service-" + std::to_string(index)).set_epoch(index);
    }
    const auto text = metrics.render();
    constexpr std::string_view series = "\nhawthornstall_ownership_epoch{";
    std::size_t count = 0;
    for (auto at = text.find(series); at != std::string::npos; at = text.find(series, at + 1)) {
        ++count;
    }
    CHECK(count == entry_metrics::max_services + 1);
    CHECK(text.find("hawthornstall_ownership_epoch{service=\"other\"} 999\n") != std::string::npos);
}

} // namespace
} // namespace hawthornstall::telemetry
