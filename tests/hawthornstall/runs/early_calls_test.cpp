#include "hawthornstall/runs/early_calls.hpp"

#include <doctest/doctest.h>

#include <array>
#include <vector>

namespace hawthornstall::runs {
namespace {

using core::duration_ms;

constexpr core::time_ms start_time = core::from_count(1'000'000);

struct wait_case {
    duration_ms age;
    bool is_kept;
};

// Guards against keeping a call without limit when no configuration arrives.
TEST_CASE("a call waits for the first configuration for a limited time") {
    constexpr std::array cases{
        wait_case{duration_ms{0}, true},
        wait_case{early_calls::max_wait - duration_ms{1}, true},
        wait_case{early_calls::max_wait, false},
    };
    for (const auto& item : cases) {
        CAPTURE(item.age.count());
        early_calls calls;
        CHECK(calls.keep(7, start_time, start_time + item.age) == item.is_kept);
        CHECK(calls.take(7).has_value() == item.is_kept);
        CHECK_FALSE(calls.take(7));
    }
}

// Guards against unbounded memory for waiting calls.
TEST_CASE("the number of waiting calls is limited") {
    early_calls calls;
    for (std::uint64_t call = 0; call < early_calls::max_calls; ++call) {
        REQUIRE(calls.keep(call, start_time, start_time));
    }
    CHECK_FALSE(calls.keep(early_calls::max_calls, start_time, start_time));
}

TEST_CASE("waiting calls are selected by their time of arrival") {
    early_calls calls;
    REQUIRE(calls.keep(1, start_time, start_time));
    REQUIRE(calls.keep(2, start_time + duration_ms{100}, start_time + duration_ms{100}));
    CHECK(calls.arrived_by(start_time + duration_ms{50}) == std::vector<std::uint64_t>{1});
    CHECK(calls.take(1) == start_time);
    CHECK(calls.arrived_by(start_time + duration_ms{100}) == std::vector<std::uint64_t>{2});
}

} // namespace
} // namespace hawthornstall::runs
