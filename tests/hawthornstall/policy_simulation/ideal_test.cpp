#include "policy/ideal.hpp"

#include <doctest/doctest.h>

#include <array>
#include <vector>

namespace hawthornstall::policy_bench {
namespace {

// Guards against an ideal that a dispatcher can beat; all ratios to it would be meaningless.
TEST_CASE("the ideal is the best preemptive schedule of the job alone") {
    struct scenario {
        const char* name;
        std::vector<double> work_ms;
        double bound_ms; ///< Without the two network hops.
    };
    const std::array<target_plan, 2> targets{target_plan{.speed = 2.0, .slots = 1},
                                             target_plan{.speed = 0.5, .slots = 2}};
    const std::array scenarios{
        scenario{"one task runs on the fastest slot", {100.0}, 50.0},
        scenario{"the longest task bounds the job", {100.0, 1.0}, 50.0},
        scenario{"two equal tasks share the two fastest slots", {100.0, 100.0}, 80.0},
        scenario{"many tasks share all slots", {100.0, 100.0, 100.0, 100.0}, 400.0 / 3.0},
    };
    const ideal_bound ideal{targets};
    for (const auto& item : scenarios) {
        CAPTURE(item.name);
        const double hops_ms = 2.0 * hop_us / us_per_ms;
        CHECK(ideal.response_ms(item.work_ms) == doctest::Approx(item.bound_ms + hops_ms));
    }
}

} // namespace
} // namespace hawthornstall::policy_bench
