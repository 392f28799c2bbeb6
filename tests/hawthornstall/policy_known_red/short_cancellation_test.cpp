#include "policy/policies.hpp"

#include <doctest/doctest.h>

namespace hawthornstall::policy_bench {
namespace {

// Guards against cancelled jobs that cost the product more messages than the naive dispatcher; the
// wave comes after 0.7 s, before the naive dispatcher has built up queues that it wastes messages
// on. Listed in KNOWN-RED.txt.
TEST_CASE("an early cancellation wave wastes no more messages than with the naive dispatcher") {
    const auto plan = make_workload(
        {deployment::workers, 0.7, {fault::cancellation_wave}, 1, core::duration_ms{2'000}});
    const auto product = run_policy(product_policy, plan);
    const auto naive = run_policy(naive_queue_policy, plan);
    CHECK(product.wasted_per_served_task <= naive.wasted_per_served_task);
}

} // namespace
} // namespace hawthornstall::policy_bench
