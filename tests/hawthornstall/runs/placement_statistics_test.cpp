#include "hawthornstall/runs/placement_statistics.hpp"

#include <doctest/doctest.h>

#include <array>
#include <string_view>

namespace hawthornstall::runs {
namespace {

constexpr core::time_ms start_time = core::from_count(1'000'000);

struct record_case {
    std::string_view name;
    int grants = 0;
    int ends = 0;
    std::string_view expected;
};

// Guards against records that mix up the time in messages with that on the targets.
TEST_CASE("a placement record has the means since the last one") {
    constexpr std::array cases{
        record_case{
            "nothing", 0, 0,
            "0 grants after 0 ms, 30 targets examined for each; 0 ends, 0 ms in messages, 0 "
            "% of the declared run time; targets and runs by class of slowness: -1: 2/3"},
        record_case{
            "grants", 10, 0,
            "10 grants after 4 ms, 3 targets examined for each; 0 ends, 0 ms in messages, 0 "
            "% of the declared run time; targets and runs by class of slowness: -1: 2/3"},
        record_case{
            "grants and ends", 10, 2,
            "10 grants after 4 ms, 3 targets examined for each; 2 ends, 20 ms in messages, "
            "80 % of the declared run time; targets and runs by class of slowness: -1: 2/3"},
    };
    for (const auto& item : cases) {
        CAPTURE(item.name);
        placement_statistics statistics;
        (void)statistics.take({}, 70, start_time);
        for (int count = 0; count < item.grants; ++count) {
            statistics.granted(core::duration_ms{4});
        }
        for (int count = 0; count < item.ends; ++count) {
            statistics.ended(core::duration_ms{100}, core::duration_ms{80}, core::duration_ms{100});
        }
        constexpr core::duration_ms interval{2'000};
        CHECK_FALSE(statistics.is_due(start_time + interval - core::duration_ms{1}));
        CHECK(statistics.is_due(start_time + interval) == (item.grants + item.ends > 0));
        CHECK(statistics.take({{-1, {.targets = 2, .runs = 3}}}, 100, start_time + interval) ==
              item.expected);
    }
}

} // namespace
} // namespace hawthornstall::runs
