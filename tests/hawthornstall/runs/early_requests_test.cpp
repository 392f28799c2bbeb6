#include "hawthornstall/runs/early_requests.hpp"

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

// Guards against keeping a request without limit when no configuration arrives.
TEST_CASE("a request waits for the first configuration for a limited time") {
    constexpr std::array cases{
        wait_case{duration_ms{0}, true},
        wait_case{early_requests::max_wait - duration_ms{1}, true},
        wait_case{early_requests::max_wait, false},
    };
    for (const auto& item : cases) {
        CAPTURE(item.age.count());
        early_requests requests;
        CHECK(requests.keep(7, start_time, start_time + item.age) == item.is_kept);
        CHECK(requests.take(7).has_value() == item.is_kept);
        CHECK_FALSE(requests.take(7));
    }
}

// Guards against unbounded memory for waiting requests.
TEST_CASE("the number of waiting requests is limited") {
    early_requests requests;
    for (std::uint64_t request = 0; request < early_requests::max_requests; ++request) {
        REQUIRE(requests.keep(request, start_time, start_time));
    }
    CHECK_FALSE(requests.keep(early_requests::max_requests, start_time, start_time));
}

// Guards against ending the wait of requests that arrived too recently.
TEST_CASE("waiting requests are selected by their time of arrival") {
    early_requests requests;
    REQUIRE(requests.keep(1, start_time, start_time));
    REQUIRE(requests.keep(2, start_time + duration_ms{100}, start_time + duration_ms{100}));
    CHECK(requests.arrived_by(start_time + duration_ms{50}) == std::vector<std::uint64_t>{1});
    CHECK(requests.take(1) == start_time);
    CHECK(requests.arrived_by(start_time + duration_ms{100}) == std::vector<std::uint64_t>{2});
}

} // namespace
} // namespace hawthornstall::runs
