#include "hawthornstall/runs/retry_schedule.hpp"
#include "hawthornstall/runs/wait_forecast.hpp"

#include <doctest/doctest.h>

#include <array>
#include <map>
#include <string_view>
#include <vector>

namespace hawthornstall::runs {
namespace {

using core::duration_ms;

constexpr core::time_ms start_time = core::from_count(1'000'000);
constexpr double capacity = 1'000'000.0; ///< A thousand cores.

struct wait_case {
    std::string_view name;
    wait_question question;
    std::vector<arriving_work> arrivals;
    duration_ms at_least{};
    duration_ms at_most{};
};

// Load: a burst of long jobs while a third of the capacity is gone, and short jobs that keep
// arriving and are due earlier. Guards against a long job that is admitted, overtaken until its
// result is useless, and refused then.
TEST_CASE("the forecast of a wait counts the work that arrives later and goes first") {
    const std::array cases{
        wait_case{"nothing ahead",
                  {0, capacity, duration_ms{1'000}, duration_ms{5'000}},
                  {},
                  duration_ms{0},
                  duration_ms{0}},
        wait_case{"work ahead",
                  {200'000'000, capacity, duration_ms{1'000}, duration_ms{5'000}},
                  {},
                  duration_ms{200},
                  duration_ms{200}},
        wait_case{"half of the capacity goes to later arrivals",
                  {200'000'000, capacity, duration_ms{1'000}, duration_ms{5'000}},
                  {{duration_ms{150}, capacity / 2}},
                  duration_ms{390},
                  duration_ms{400}},
        wait_case{"later arrivals that are due later do not count",
                  {200'000'000, capacity, duration_ms{1'000}, duration_ms{5'000}},
                  {{duration_ms{1'200}, capacity}},
                  duration_ms{200},
                  duration_ms{200}},
        wait_case{"arrivals beyond the capacity overtake until they are due later",
                  {200'000'000, capacity, duration_ms{1'000}, duration_ms{5'000}},
                  {{duration_ms{150}, 2 * capacity}},
                  duration_ms{1'850},
                  duration_ms{1'900}},
        wait_case{"longer than is of interest",
                  {9'000'000'000, capacity, duration_ms{1'000}, duration_ms{5'000}},
                  {},
                  duration_ms{5'000},
                  duration_ms{5'000}},
        wait_case{"no capacity",
                  {0, 0.0, duration_ms{1'000}, duration_ms{5'000}},
                  {},
                  duration_ms{5'000},
                  duration_ms{5'000}},
    };
    for (const auto& item : cases) {
        CAPTURE(item.name);
        const auto wait = forecast_wait(item.question, item.arrivals);
        CHECK(wait >= item.at_least);
        CHECK(wait <= item.at_most);
    }
}

// Guards against work that is counted for the wrong objective, or for ever.
TEST_CASE("arrivals are counted by their objective and forgotten") {
    arrival_mix mix;
    mix.add(duration_ms{156}, 1'000'000, start_time);
    mix.add(duration_ms{200}, 1'000'000, start_time);
    mix.add(duration_ms{1'300}, 4'000'000, start_time);
    const auto rates = mix.rates(start_time);
    REQUIRE(rates.size() == 2);
    CHECK(rates[0].objective < duration_ms{256});
    CHECK(rates[0].objective >= duration_ms{128});
    CHECK(rates[0].cpu_millis == doctest::Approx(2'000.0));
    CHECK(rates[1].cpu_millis == doctest::Approx(4'000.0));
    CHECK(mix.rates(start_time + duration_ms{20'000})[1].cpu_millis < 1.0);
}

struct retry_case {
    std::string_view name;
    free_capacity capacity;
    std::vector<int> callers; ///< Expected number of callers by second from now, from 1 on.
};

// Load: 60 callers are refused in one burst, each with the work of a tenth of a second. Guards
// against callers who come back together, and against an invitation for a time without capacity.
TEST_CASE("refused callers are invited for the seconds in which capacity is free") {
    constexpr std::int64_t work = 100'000'000;
    const std::array cases{
        retry_case{"all capacity is free", {capacity, 0}, {10, 10, 10, 10, 10, 10, 0, 0, 0, 0}},
        retry_case{"half is free", {capacity / 2, 0}, {5, 5, 5, 5, 5, 5, 5, 5, 5, 5}},
        retry_case{"the first two seconds go to what is pending",
                   {capacity, 2'000'000'000},
                   {0, 0, 10, 10, 10, 10, 10, 10, 0, 0}},
        retry_case{"nothing is free", {-capacity, 0}, {6, 6, 6, 6, 6, 6, 6, 6, 6, 6}},
    };
    for (const auto& item : cases) {
        CAPTURE(item.name);
        retry_schedule retries;
        std::map<std::int64_t, int> callers;
        int invited = 0;
        for (int caller = 0; caller < 60; ++caller) {
            const auto delay = retries.invite(work, item.capacity, start_time);
            CHECK(delay >= retry_schedule::shortest);
            CHECK(delay <= retry_schedule::longest);
            CHECK(delay.count() % 1'000 == 0);
            ++callers[delay.count() / 1'000];
            ++invited;
        }
        CHECK(invited == 60);
        for (std::size_t second = 0; second < item.callers.size(); ++second) {
            CAPTURE(second);
            const auto found = callers[static_cast<std::int64_t>(second) + 1];
            // Beyond the capacity of all seconds the rest is spread over them.
            CHECK(found >= item.callers[second]);
        }
    }
}

// Guards against invitations that stay counted when their second has passed.
TEST_CASE("the seconds that have passed are forgotten") {
    retry_schedule retries;
    constexpr std::int64_t work = 1'000'000'000;
    const free_capacity free{capacity, 0};
    CHECK(retries.invite(work, free, start_time) == duration_ms{1'000});
    CHECK(retries.invite(work, free, start_time) == duration_ms{2'000});
    CHECK(retries.invite(work, free, start_time + duration_ms{3'000}) == duration_ms{1'000});
}

} // namespace
} // namespace hawthornstall::runs
