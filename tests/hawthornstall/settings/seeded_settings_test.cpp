#include "hawthornstall/settings/seeded_settings.hpp"

#include <doctest/doctest.h>

#include <array>
#include <string>
#include <string_view>

namespace hawthornstall::settings {
namespace {

const std::string valid_settings =
    R"({"name": "entry-1", "zone": "bilbao", "ip": "10.1.0.13", "cpu_share": 0.25,)"
    R"( "control_peer_port": 7720, "entry_peer_port": 7721, "seeds": ["10.1.0.16:8166"],)"
    R"( "zones": ["bilbao", "oviedo"],)"
    R"( "caller_address": "10.1.0.13:8161", "readiness_address": "10.1.0.13:8167",)"
    R"( "longest_lease_ms": 1000, "stop_time_ms": 50, "resubmission_delay_ms": 1200, "shutdown_grace_s": 6})";

// Guards against a value in the settings file that is not passed on to the program.
TEST_CASE("settings of a host that discovers the others are read completely") {
    const auto settings = parse_seeded_settings(valid_settings);
    REQUIRE(settings.ok());
    CHECK(settings->name == "entry-1");
    CHECK(settings->zone == "bilbao");
    CHECK(settings->cpu_share == doctest::Approx(0.25));
    CHECK(settings->seeds == std::vector<socket_address>{{"10.1.0.16", 8166}});
    CHECK(settings->caller_address == socket_address{"10.1.0.13", 8161});
    CHECK_FALSE(settings->operator_address.has_value());
    CHECK(settings->zones == std::vector<std::string>{"bilbao", "oviedo"});
    CHECK_FALSE(settings->may_found);
    CHECK(settings->longest_lease == core::duration_ms{1'000});
    CHECK(settings->resubmission_delay == core::duration_ms{1'200});
    CHECK(settings->shutdown_grace_s == doctest::Approx(6.0));
}

/// A replacement in the valid settings that makes them invalid.
struct invalid_value_case {
    std::string_view from;
    std::string_view to;
    std::string_view message; ///< Part of the error that names the path or the whole problem.
};

// Guards against a host that starts with an invalid value, and against a message that does not say
// which values are valid.
TEST_CASE("an invalid value is refused with its path") {
    constexpr std::array cases{
        invalid_value_case{R"("10.1.0.16:8166")", R"("10.1.0.16")", "$.seeds[0]"},
        invalid_value_case{R"("entry_peer_port": 7721)", R"("entry_peer_port": 7720)",
                           "$.control_peer_port"},
        invalid_value_case{R"("control_peer_port": 7720)", R"("control_peer_port": 70000)",
                           "$.control_peer_port: expected a whole number from 1 to 65535, found "
                           "70000"},
        invalid_value_case{R"("oviedo")", R"("bilbao")", "$.zones"},
        invalid_value_case{R"("oviedo")", R"("ovi edo")", "$.zones[1]"},
        invalid_value_case{R"("longest_lease_ms": 1000)", R"("longest_lease_ms": 0)",
                           "$.longest_lease_ms"},
        invalid_value_case{R"("resubmission_delay_ms": 1200)", R"("resubmission_delay_ms": -1)",
                           "$.resubmission_delay_ms"},
        invalid_value_case{R"("cpu_share": 0.25)", R"("cpu_share": 0)", "$.cpu_share"},
        invalid_value_case{R"("stop_time_ms")", R"("stop_tme_ms")", "$.stop_tme_ms"},
    };
    for (const auto& item : cases) {
        CAPTURE(item.to);
        auto text = valid_settings;
        text.replace(text.find(item.from), item.from.size(), item.to);
        const auto settings = parse_seeded_settings(text);
        REQUIRE_FALSE(settings.ok());
        CHECK(std::string{settings.status().message()}.find(item.message) != std::string::npos);
    }
}

} // namespace
} // namespace hawthornstall::settings
