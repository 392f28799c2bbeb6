#include "hawthornstall/core/error.hpp"

#include <doctest/doctest.h>

#include <array>
#include <string_view>

namespace hawthornstall::core {
namespace {

struct error_case {
    error_origin origin;
    std::string_view description;
};

// Guards against error messages that do not tell an operator which step failed and which peer was
// involved.
TEST_CASE("an error carries its step and its peer") {
    constexpr std::array cases{
        error_case{{.step = "dispatch", .peer = "minion-7"},
                   "UNAVAILABLE: connection refused (step dispatch, peer minion-7)"},
        error_case{{.step = "load_settings", .peer = ""},
                   "UNAVAILABLE: connection refused (step load_settings)"},
    };
    for (const auto& test : cases) {
        const auto status =
            make_error(absl::StatusCode::kUnavailable, test.origin, "connection refused");
        CHECK(describe(status) == test.description);
        CHECK(step_of(status) == test.origin.step);
        CHECK(peer_of(status) == test.origin.peer);
    }
}

} // namespace
} // namespace hawthornstall::core
