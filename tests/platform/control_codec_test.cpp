#include "platform/control_codec.hpp"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include <array>
#include <string>
#include <string_view>
#include <variant>

namespace hawthornstall::platform {
namespace {

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

} // namespace
} // namespace hawthornstall::platform
