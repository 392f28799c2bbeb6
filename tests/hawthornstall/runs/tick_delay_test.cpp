#include "hawthornstall/runs/tick_delay.hpp"

#include <doctest/doctest.h>

#include <array>
#include <string_view>
#include <vector>

namespace hawthornstall::runs {
namespace {

struct tick_case {
    std::string_view name;
    std::vector<int> ticks; ///< In ms.
    std::string_view expected;
};

// Guards against a busy event loop that no record shows.
TEST_CASE("the delay of a timer is measured against its interval") {
    const std::array cases{
        tick_case{"no tick", {}, "longest 0 ms, mean 0 ms of 0 ticks"},
        tick_case{"first tick", {1'000}, "longest 0 ms, mean 0 ms of 0 ticks"},
        tick_case{"on time", {1'000, 1'050, 1'100}, "longest 0 ms, mean 0 ms of 2 ticks"},
        tick_case{"one late, the next one earlier",
                  {1'000, 1'090, 1'100},
                  "longest 40 ms, mean 20 ms of 2 ticks"},
    };
    for (const auto& item : cases) {
        CAPTURE(item.name);
        tick_delay delay{core::duration_ms{50}};
        for (const auto tick : item.ticks) {
            (void)delay.record(core::from_count(tick));
        }
        CHECK(delay.take() == item.expected);
        CHECK(delay.take() == "longest 0 ms, mean 0 ms of 0 ticks");
    }
}

} // namespace
} // namespace hawthornstall::runs
