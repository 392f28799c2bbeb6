#include "platform/control_codec.hpp"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

namespace hawthornstall::platform {
namespace {

struct departure_case {
    std::string_view name;
    std::string body;
    bool accepted = true;
    std::uint64_t incarnation = 0;
};

// Guards against a departure that is refused for a body without a start time, one that loses the
// start time, and one that cannot be read but removes a target.
TEST_CASE("a departure names the incarnation that ends") {
    const std::array cases{
        departure_case{"no body", ""},
        departure_case{"empty object", "{}"},
        departure_case{"start time", R"({"born":1700000000000})", true, 1'700'000'000'000},
        departure_case{"more fields", R"({"service":"s","born":5,"x":[1]})", true, 5},
        departure_case{"start time of another type", R"({"born":"5"})", false},
        departure_case{"negative start time", R"({"born":-5})", false},
        departure_case{"start time of 2^64", R"({"born":18446744073709551616})", false},
        departure_case{"not an object", "[5]", false},
        departure_case{"open arrays", std::string(4'000'000, '['), false},
        departure_case{"not JSON", "\xff\xfe", false},
    };
    for (const auto& item : cases) {
        CAPTURE(item.name);
        net::http_request request;
        request.method = "POST";
        request.path = "/api/instances/i-7/deregister";
        request.body = item.body;
        const auto decoded = control_codec::decode(request);
        const auto* const departure = std::get_if<control::leave_request>(&decoded);
        REQUIRE((departure != nullptr) == item.accepted);
        if (departure != nullptr) {
            CHECK(departure->target == "i-7");
            CHECK(departure->incarnation == item.incarnation);
        } else {
            CHECK(std::get<control::gateway_answer>(decoded).status == 400);
        }
    }
}

struct zone_call_case {
    std::string_view name;
    std::string_view method;
    std::string_view path;
    std::string_view zone; ///< Empty: the call is refused with 404.
    bool drained = false;
};

// Guards against an order for a zone that is not understood, or is taken for its opposite.
TEST_CASE("an order to drain a zone is read in the names of the platform and in the product's") {
    constexpr std::array cases{
        zone_call_case{"drain", "POST", "/api/evacuation/port-spain/start", "port-spain", true},
        zone_call_case{"end", "POST", "/api/evacuation/port-spain/end", "port-spain", false},
        zone_call_case{"own drain", "POST", "/v1/zones/bilbao/drain", "bilbao", true},
        zone_call_case{"own end", "POST", "/v1/zones/bilbao/undrain", "bilbao", false},
        zone_call_case{"a zone named like an order", "POST", "/api/evacuation/start/end", "start",
                       false},
        zone_call_case{"no zone", "POST", "/api/evacuation//start", ""},
        zone_call_case{"zone with a slash", "POST", "/api/evacuation/a/b/start", ""},
        zone_call_case{"unknown order", "POST", "/api/evacuation/bilbao/pause", ""},
        zone_call_case{"other method", "GET", "/api/evacuation/bilbao/start", ""},
    };
    for (const auto& item : cases) {
        CAPTURE(item.name);
        net::http_request request;
        request.method = item.method;
        request.path = item.path;
        const auto decoded = control_codec::decode(request);
        const auto* const drain = std::get_if<control::zone_drain_request>(&decoded);
        REQUIRE((drain != nullptr) == !item.zone.empty());
        if (drain != nullptr) {
            CHECK(drain->order.zone == item.zone);
            CHECK(drain->order.drained == item.drained);
        } else {
            CHECK(std::get<control::gateway_answer>(decoded).status == 404);
        }
    }
}

struct name_case {
    std::string_view description;
    std::string name; ///< Of the first route, which has no timeout.
};

// Guards against an error body that an operator's program cannot parse because it quotes a name
// from the refused configuration.
TEST_CASE("the error of a refused configuration is valid JSON whatever the route is called") {
    const std::array cases{
        name_case{"plain", "basket"},
        name_case{"quote", "a \"basket\""},
        name_case{"backslash", "basket\\"},
        name_case{"line break", "bas\nket"},
        name_case{"forged field", "\",\"x\":\""},
        name_case{"not ASCII", "cesta \u00f1"},
    };
    for (const auto& item : cases) {
        CAPTURE(item.description);
        const nlohmann::json document{{"version", 1},
                                      {"services", {{{"name", "restock"}}}},
                                      {"routes",
                                       {{{"name", item.name},
                                         {"host", "stall.example"},
                                         {"path_prefix", "/jobs/"},
                                         {"service", "restock"},
                                         {"timeout_ms", 0}}}}};
        const auto body = document.dump();
        net::http_request request;
        request.method = "POST";
        request.path = "/api/configuration/put";
        request.body = body;
        const auto decoded = control_codec::decode(request);
        const auto* const answer = std::get_if<control::gateway_answer>(&decoded);
        REQUIRE(answer != nullptr);
        CHECK(answer->status == 400);
        const auto error = nlohmann::json::parse(answer->body, nullptr, false);
        REQUIRE(error.is_object());
        CHECK(error.size() == 1);
        CHECK(error.value("error", "").starts_with("route " + item.name + ": "));
    }
}

struct refused_heartbeat_case {
    std::string_view name;
    std::string_view body;
    std::string_view expected; ///< JSON body of the answer.
};

// Guards against a target that is refused without a hint which of its fields is the cause.
TEST_CASE("the answer to a refused heartbeat says which field is wrong") {
    constexpr std::array cases{
        refused_heartbeat_case{
            "not JSON", "{", R"({"error":"the heartbeat names no target to use: not an object"})"},
        refused_heartbeat_case{
            "missing field", R"({"service":"s"})",
            R"({"error":"the heartbeat names no target to use: address is missing"})"},
        refused_heartbeat_case{
            "port out of range",
            R"({"service":"s","address":"10.0.0.1:65536","zone":"z","state":"ready",)"
            R"("capacity":{},"sequence":1})",
            R"({"error":"the heartbeat names no target to use: the address is not an IP address)"
            R"( with a port from 1 to 65535"})"},
    };
    for (const auto& item : cases) {
        CAPTURE(item.name);
        net::http_request request;
        request.method = "POST";
        request.path = "/api/instances/i-7/heartbeat";
        request.body = item.body;
        const auto decoded = control_codec::decode(request);
        REQUIRE(std::holds_alternative<control::gateway_answer>(decoded));
        const auto& answer = std::get<control::gateway_answer>(decoded);
        CHECK(answer.status == 400);
        CHECK(answer.body == item.expected);
    }
}

} // namespace
} // namespace hawthornstall::platform
