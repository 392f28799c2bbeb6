#include "policy/policies.hpp"

#include <doctest/doctest.h>

#include <array>
#include <map>
#include <span>
#include <string>
#include <vector>

namespace hawthornstall::policy_bench {
namespace {

/// A workload on which the bounds of section 1.3 of the design page are checked.
struct bound_case {
    deployment size;
    std::uint64_t seed;
};

const std::array cases{bound_case{deployment::minions, 1}, bound_case{deployment::minions, 2},
                       bound_case{deployment::minions, 3}, bound_case{deployment::workers, 1}};

#if defined(__SANITIZE_ADDRESS__) || defined(__SANITIZE_THREAD__)
/// The sanitizers slow a run down ten times and more, so they run the first case only.
constexpr std::size_t case_count = 1;
#else
constexpr std::size_t case_count = cases.size();
#endif

/// Result of a run of the product. It is kept, because several bounds are checked on the same run.
const run_result& product_run(const bound_case& item, double load, std::vector<fault> faults) {
    static std::map<std::string, run_result> runs;
    // Workers hold 7.5 times as many tasks as minions, so a shorter run has at least as many.
    const core::duration_ms length{item.size == deployment::minions ? 60'000 : 20'000};
    const workload_parameters parameters{item.size, load, std::move(faults), item.seed, length};
    const auto key = name_of(parameters) + " seed " + std::to_string(item.seed);
    const auto found = runs.find(key);
    if (found != runs.end()) {
        return found->second;
    }
    return runs.emplace(key, run_policy(product_policy, make_workload(parameters))).first->second;
}

template <class Check>
void for_each_case(double load, const std::vector<fault>& faults, Check check) {
    for (const auto& item : std::span{cases}.first(case_count)) {
        CAPTURE(to_string(item.size));
        CAPTURE(item.seed);
        check(product_run(item, load, faults));
    }
}

// The limits below are the requirements of section 1.3 of the design page. They guard against
// changes of the scheduler that increase response times or the number of messages.

TEST_CASE("bound: mean response time / ideal at 70 % load") {
    for_each_case(0.7, {}, [](const run_result& run) { CHECK(run.ratio.mean <= 1.5); });
}

TEST_CASE("bound: p99 of response time / ideal at 70 % load") {
    for_each_case(0.7, {}, [](const run_result& run) { CHECK(run.ratio.p99 <= 5.0); });
}

TEST_CASE("bound: wasted messages at 70 % load") {
    for_each_case(0.7, {},
                  [](const run_result& run) { CHECK(run.wasted_per_served_task <= 0.05); });
}

TEST_CASE("bound: messages per task at 70 % load") {
    for_each_case(0.7, {}, [](const run_result& run) { CHECK(run.messages_per_task <= 3.0); });
}

// Guards against a scheduler that meets the bounds above because it refuses or fails expensive
// jobs.
TEST_CASE("at 70 % load without faults every job is answered") {
    for_each_case(0.7, {}, [](const run_result& run) {
        CHECK(run.answered_jobs == run.jobs);
        CHECK(run.breaches.total() == 0);
    });
}

TEST_CASE("bound: answered idempotent tasks with failing targets") {
    for_each_case(0.7, {fault::failing_targets}, [](const run_result& run) {
        CHECK(run.idempotent_answered >= 0.99);
        CHECK(run.breaches.total() == 0);
    });
}

TEST_CASE("bound: wasted messages with failing targets") {
    for_each_case(0.7, {fault::failing_targets},
                  [](const run_result& run) { CHECK(run.wasted_per_served_task <= 0.2); });
}

TEST_CASE("bound: goodput at 120 % load") {
    for_each_case(1.2, {}, [](const run_result& run) { CHECK(run.goodput >= 0.95); });
}

TEST_CASE("bound: refusals at 120 % load come before the deadline and nothing has run") {
    for_each_case(1.2, {}, [](const run_result& run) {
        CHECK(run.refused_jobs > 0);
        CHECK(run.breaches.late_refusals == 0);
        CHECK(run.breaches.false_refusals == 0);
        CHECK(run.breaches.total() == 0);
    });
}

} // namespace
} // namespace hawthornstall::policy_bench
