#include "hawthornstall/runs/work_rate.hpp"

#include <doctest/doctest.h>

namespace hawthornstall::runs {
namespace {

constexpr core::time_ms start_time = core::from_count(1'000'000);

// Guards against a rate that lags by many seconds or has the wrong unit.
TEST_CASE("the rate converges to the arrivals and decays without them") {
    work_rate rate;
    auto now = start_time;
    // 50 units of work each 10 ms are 5 thousandths of a core.
    for (int step = 0; step < 500; ++step) {
        now += core::duration_ms{10};
        rate.add(50, now);
    }
    CHECK(rate.cpu_millis(now) == doctest::Approx(5.0).epsilon(0.05));
    CHECK(rate.cpu_millis(now + work_rate::averaging_time) ==
          doctest::Approx(5.0 / 2.718).epsilon(0.05));
    CHECK(rate.cpu_millis(now + 20 * work_rate::averaging_time) < 0.01);
}

} // namespace
} // namespace hawthornstall::runs
