#include "policy/policies.hpp"

#include <doctest/doctest.h>

#include <array>
#include <vector>

namespace hawthornstall::policy_bench {
namespace {

#if defined(__SANITIZE_ADDRESS__) || defined(__SANITIZE_THREAD__)
/// The sanitizers slow a run down ten times and more, so they run two of the workloads.
constexpr std::size_t stride = 20;
#else
constexpr std::size_t stride = 1;
#endif

/// Every load without faults, every fault alone and every pair of faults at 70 % load.
std::vector<workload_parameters> all_workloads(deployment size, core::duration_ms length) {
    std::vector<workload_parameters> all;
    for (const double load : {0.5, 0.7, 0.85, 1.2}) {
        all.push_back({size, load, {}, 1, length});
    }
    for (std::size_t first = 0; first < fault_count; ++first) {
        all.push_back({size, 0.7, {static_cast<fault>(first)}, 1, length});
        for (auto second = first + 1; second < fault_count; ++second) {
            all.push_back(
                {size, 0.7, {static_cast<fault>(first), static_cast<fault>(second)}, 1, length});
        }
    }
    return all;
}

void check_never_worse(const run_result& product, const run_result& naive) {
    CHECK(naive.breaches.total() == 0);
    CHECK(product.charged_ratio <= naive.charged_ratio);
    CHECK(product.wasted_per_served_task <= naive.wasted_per_served_task);
}

void check_all_workloads(deployment size, core::duration_ms length) {
    const auto workloads = all_workloads(size, length);
    for (std::size_t index = 0; index < workloads.size(); index += stride) {
        const auto& parameters = workloads[index];
        CAPTURE(name_of(parameters));
        const auto plan = make_workload(parameters);
        const auto product = run_policy(product_policy, plan);
        // The rules that the naive dispatcher meets as well: one end per job, complete answers,
        // refusals only if nothing ran, no second run of a task that is not idempotent. The product
        // also never sends a task to a full target.
        CHECK(product.breaches.total() == 0);
        check_never_worse(product, run_policy(naive_queue_policy, plan));
        check_never_worse(product, run_policy(naive_retry_policy, plan));
    }
}

// Guards against outcomes that the rules for every dispatcher forbid, and against decisions that
// make the product worse than the naive dispatchers on some workload.
TEST_CASE("the product breaks no rule and is never worse than the naive dispatchers on minions") {
    check_all_workloads(deployment::minions, core::duration_ms{12'000});
}

TEST_CASE("the product breaks no rule and is never worse than the naive dispatchers on workers") {
    check_all_workloads(deployment::workers, core::duration_ms{3'000});
}

} // namespace
} // namespace hawthornstall::policy_bench
