#include "platform/config_codec.hpp"

#include <doctest/doctest.h>

#include <array>
#include <string>
#include <string_view>

namespace hawthornstall::platform {
namespace {

std::string make_config(std::string_view version, std::string_view routes) {
    return R"({"version":)" + std::string{version} + R"(,"routes":[)" + std::string{routes} +
           R"(],"services":[{"name":"s"}],"limits":{"max_body_bytes":262144}})";
}

constexpr std::string_view good_route =
    R"({"name":"r","host":"h.example","path_prefix":"/a/","kind":"unsafe","timeout_ms":1500,)"
    R"("target_latency_ms":60,"priority":1,"service":"s","retry_attempts":4,"stretch":1.6})";

// Guards against terms that are lost between the operator and the scheduler.
TEST_CASE("a valid configuration is read whole") {
    const auto table = decode_config(make_config("7", good_route));
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

struct invalid_case {
    std::string_view name;
    std::string body;
};

// Guards against an invalid configuration that comes into force.
TEST_CASE("an invalid configuration is refused whole") {
    const auto good = std::string{good_route};
    auto no_timeout = good;
    no_timeout.replace(no_timeout.find("1500"), 4, "0");
    auto unknown_service = good;
    unknown_service.replace(unknown_service.find(R"("s")"), 3, R"("t")");
    auto wrong_type = good;
    wrong_type.replace(wrong_type.find("1500"), 4, R"("x")");
    const auto whole = make_config("7", good);
    const std::array cases{
        invalid_case{"cut short", whole.substr(0, whole.size() / 2)},
        invalid_case{"empty", ""},
        invalid_case{"a list", "[]"},
        invalid_case{"no version", R"({"routes":[],"services":[]})"},
        invalid_case{"negative version", make_config("-1", good)},
        invalid_case{"same host and prefix twice", make_config("7", good + "," + good)},
        invalid_case{"unknown service", make_config("7", unknown_service)},
        invalid_case{"time-out of 0", make_config("7", no_timeout)},
        invalid_case{"field of another type", make_config("7", wrong_type)},
        invalid_case{"route that is no object", make_config("7", "3")},
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
