#include "policy/placement_simulation.hpp"

#include <doctest/doctest.h>

#include <array>
#include <vector>

namespace hawthornstall::policy_bench {
namespace {

using runs::placement_policy;

struct placement_case {
    std::int64_t load_percent = 0;
    bool loses_targets = false;
    placement_policy policy = placement_policy::fit;
};

constexpr std::array cases{
    placement_case{70, false, placement_policy::fit},
    placement_case{70, false, placement_policy::reserve},
    placement_case{70, false, placement_policy::backfill},
    placement_case{120, false, placement_policy::fit},
    placement_case{120, false, placement_policy::reserve},
    placement_case{120, false, placement_policy::backfill},
    placement_case{90, true, placement_policy::fit},
    placement_case{90, true, placement_policy::reserve},
    placement_case{90, true, placement_policy::backfill},
};

placement_workload make_plan(const placement_case& item) {
    return make_placement_workload({.load_percent = item.load_percent,
                                    .loses_targets = item.loses_targets,
                                    .seed = 1,
                                    .length = core::duration_ms{4'000}});
}

// Guards against a simulation that loses jobs or answers them twice, and against runs on a target
// without room for them: its figures would then compare nothing.
TEST_CASE("every job gets exactly one answer and no target is over its capacity") {
    for (const auto& item : cases) {
        CAPTURE(item.load_percent);
        CAPTURE(item.loses_targets);
        CAPTURE(runs::to_string(item.policy));
        const auto plan = make_plan(item);
        const auto result = simulate_placement(plan, item.policy);
        CHECK(plan.jobs.size() > 500);
        CHECK(result.unanswered == 0);
        CHECK(result.answered_twice == 0);
        CHECK(result.overfilled == 0);
        CHECK(result.is_idle_at_end);
        CHECK(result.all.jobs > 0);
        CHECK(result.used_share > 0.0);
        CHECK(result.used_share <= 1.0);
        std::uint64_t jobs = 0;
        for (const auto& queue : result.by_queue) {
            for (const auto count : queue.by_outcome) {
                jobs += count;
            }
        }
        CHECK(jobs == result.all.jobs);
    }
}

// Guards against a workload that differs between machines: figures of one seed would not be
// comparable. The expected sum is that of the integer arithmetic of this workload.
TEST_CASE("a seed always gives the same workload") {
    const auto checksum = [](std::uint64_t seed) {
        const auto plan = make_placement_workload(
            {.load_percent = 90, .seed = seed, .length = core::duration_ms{4'000}});
        std::uint64_t sum = 0;
        for (const auto& job : plan.jobs) {
            for (const auto value : {job.arrival.count(), job.cpu_millis, job.declared.count(),
                                     static_cast<std::int64_t>(job.work.size())}) {
                constexpr std::uint64_t factor = 1'000'003;
                sum = sum * factor + static_cast<std::uint64_t>(value);
            }
        }
        return sum;
    };
    CHECK(checksum(1) == 742'242'681'744'400'565U);
    CHECK(checksum(1) != checksum(2));
}

} // namespace
} // namespace hawthornstall::policy_bench
