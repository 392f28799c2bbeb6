#include "random_schedule.hpp"

#include <doctest/doctest.h>

#include <string_view>

namespace hawthornstall::journal::testing {
namespace {

#ifdef NDEBUG
constexpr std::uint64_t seed_count = 2000;
#else
// Debug builds with sanitizers are more than 20 times slower. They look for memory errors, which
// need fewer schedules.
constexpr std::uint64_t seed_count = 100;
#endif

void add(run_counts& total, const run_counts& counts) {
    total.starts += counts.starts;
    total.retries += counts.retries;
    total.answers += counts.answers;
    total.repeated_answers += counts.repeated_answers;
    total.refusals += counts.refusals;
    total.step_downs += counts.step_downs;
    total.generations += counts.generations;
    for (const auto& [verdict, count] : counts.verdicts) {
        total.verdicts[verdict] += count;
    }
}

// Guards against double starts, false refusals, changed answers and a second content under random
// combinations of faults, and against a shard that doesn't serve again after the faults end.
TEST_CASE("random schedules keep the invariants") {
    run_counts total;
    for (std::uint64_t seed = 1; seed <= seed_count; ++seed) {
        CAPTURE(seed);
        simulation<replica, submission_table> run{seed};
        run_schedule(run);
        const auto violation = find_violation(run.events());
        REQUIRE_MESSAGE(!violation, *violation);
        REQUIRE(run.serving_host().has_value());
        add(total, run.counts());
    }
    // Schedules that don't reach a case prove nothing about it.
    const int min_count = static_cast<int>(seed_count) / 10;
    CHECK(total.starts > min_count);
    CHECK(total.retries > min_count);
    CHECK(total.answers > min_count);
    CHECK(total.repeated_answers > min_count);
    CHECK(total.refusals > min_count);
    CHECK(total.step_downs > min_count);
    CHECK(total.generations > static_cast<int>(seed_count));
    for (const auto verdict :
         {submission_verdict::fresh, submission_verdict::in_progress, submission_verdict::answered,
          submission_verdict::failed, submission_verdict::refused, submission_verdict::may_have_run,
          submission_verdict::too_old, submission_verdict::other_generation,
          submission_verdict::different_content}) {
        CAPTURE(to_string(verdict));
        CHECK(total.verdicts[verdict] > min_count);
        MESSAGE(to_string(verdict) << ": " << total.verdicts[verdict]);
    }
    MESSAGE("starts " << total.starts << ", answers " << total.answers << ", generations "
                      << total.generations << ", step-downs " << total.step_downs);
}

} // namespace
} // namespace hawthornstall::journal::testing
