#include "platform/config_codec.hpp"

#include <doctest/doctest.h>

#include <array>
#include <cstdint>
#include <limits>
#include <string>
#include <string_view>

namespace hawthornstall::platform {
namespace {

std::string make_config(std::string_view version, std::string_view routes) {
    return R"({"version":)" + std::string{version} + R"(,"routes":[)" + std::string{routes} +
           R"(],"services":[{"name":"s"}],"limits":{"max_body_bytes":262144}})";
}

constexpr std::string_view valid_route =
    R"({"name":"r","host":"h.example","path_prefix":"/a/","kind":"unsafe","timeout_ms":1500,)"
    R"("target_latency_ms":60,"priority":1,"service":"s","retry_attempts":4,"stretch":1.6})";

// Guards against a decoder that drops a field of the operator's configuration, so that the
// scheduler uses other terms.
TEST_CASE("all fields of a valid configuration are decoded") {
    const auto table = decode_config(make_config("7", valid_route));
    REQUIRE(table.ok());
    CHECK(table->version == 7);
    REQUIRE(table->routes.size() == 1);
    const auto* const route = table->find("h.example", "/a/5c0e7a21d94b36f8");
    REQUIRE(route != nullptr);
    CHECK(route->terms == runs::job_terms{.service = "s",
                                          .priority = 1,
                                          .max_attempts = 4,
                                          .stretch = 1.6,
                                          .latency_target = core::duration_ms{60},
                                          .deadline = core::duration_ms{1'500}});
    CHECK(table->find("other.example", "/a/x") == nullptr);
    CHECK(table->find("h.example", "/b/x") == nullptr);
}

struct large_number_case {
    std::string_view name;
    std::string_view from;
    std::string_view to;
    runs::job_terms expected;
};

// Guards against a valid configuration with a large number that is refused, or whose number becomes
// negative or small.
TEST_CASE("large numbers of a route are limited") {
    const runs::job_terms terms{.service = "s",
                                .priority = 1,
                                .max_attempts = 4,
                                .stretch = 1.6,
                                .latency_target = core::duration_ms{60},
                                .deadline = core::duration_ms{1'500}};
    constexpr auto largest = std::numeric_limits<std::uint32_t>::max();
    auto long_deadline = terms;
    long_deadline.deadline = runs::max_time;
    auto long_target = terms;
    long_target.latency_target = runs::max_time;
    auto last_priority = terms;
    last_priority.priority = largest;
    auto most_attempts = terms;
    most_attempts.max_attempts = largest;
    auto largest_stretch = terms;
    largest_stretch.stretch = runs::max_stretch;
    auto no_stretch = terms;
    no_stretch.stretch = 0.0;
    const std::array cases{
        large_number_case{"timeout of 2^63", "1500", "9223372036854775808", long_deadline},
        large_number_case{"timeout of 2^64-1", "1500", "18446744073709551615", long_deadline},
        large_number_case{"target of 2^64-1", ":60", ":18446744073709551615", long_target},
        large_number_case{"priority of 2^32", R"("priority":1)", R"("priority":4294967296)",
                          last_priority},
        large_number_case{"attempts of 2^32", R"("retry_attempts":4)",
                          R"("retry_attempts":4294967296)", most_attempts},
        large_number_case{"stretch of 1e300", "1.6", "1e300", largest_stretch},
        large_number_case{"negative stretch", "1.6", "-1e300", no_stretch},
    };
    for (const auto& item : cases) {
        CAPTURE(item.name);
        auto route = std::string{valid_route};
        route.replace(route.find(item.from), item.from.size(), item.to);
        const auto table = decode_config(make_config("7", route));
        REQUIRE(table.ok());
        CHECK(table->routes.at(0).terms == item.expected);
    }
}

struct invalid_case {
    std::string_view name;
    std::string body;
};

// Guards against an invalid configuration that is applied.
TEST_CASE("an invalid configuration is rejected as a whole") {
    const auto route = std::string{valid_route};
    auto no_timeout = route;
    no_timeout.replace(no_timeout.find("1500"), 4, "0");
    auto unknown_service = route;
    unknown_service.replace(unknown_service.find(R"("s")"), 3, R"("t")");
    auto wrong_type = route;
    wrong_type.replace(wrong_type.find("1500"), 4, R"("x")");
    const auto config = make_config("7", route);
    const std::array cases{
        invalid_case{"truncated", config.substr(0, config.size() / 2)},
        invalid_case{"empty", ""},
        invalid_case{"array instead of object", "[]"},
        invalid_case{"no version", R"({"routes":[],"services":[]})"},
        invalid_case{"negative version", make_config("-1", route)},
        invalid_case{"same host and prefix twice", make_config("7", route + "," + route)},
        invalid_case{"unknown service", make_config("7", unknown_service)},
        invalid_case{"timeout of 0", make_config("7", no_timeout)},
        invalid_case{"field of the wrong type", make_config("7", wrong_type)},
        invalid_case{"route is not an object", make_config("7", "3")},
        invalid_case{"open arrays", std::string(4'000'000, '[')},
        invalid_case{"version above 64 bits", make_config("18446744073709551616", route)},
        invalid_case{"version beyond a double", make_config("1e400", route)},
    };
    for (const auto& item : cases) {
        CAPTURE(item.name);
        const auto table = decode_config(item.body);
        REQUIRE_FALSE(table.ok());
        CHECK(table.status().code() == absl::StatusCode::kInvalidArgument);
    }
}

} // namespace
} // namespace hawthornstall::platform
