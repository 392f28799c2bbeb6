#pragma once

/// The policies that the benchmark compares, by name.

#include "policy/run_result.hpp"
#include "policy/workload.hpp"

#include <span>
#include <string_view>

namespace hawthornstall::policy_bench {

/// Name of the policy that entry hosts use by default.
constexpr std::string_view product_policy = "product";

/// Names of the naive policies: a full target either queues a task or refuses it.
constexpr std::string_view naive_queue_policy = "naive, queue at target";
constexpr std::string_view naive_retry_policy = "naive, retry after 10 ms";

/// Names of all policies, the product's first.
[[nodiscard]] std::span<const std::string_view> policy_names();

/// Runs the policy of that name on the workload. Throws std::invalid_argument for an unknown name.
[[nodiscard]] run_result run_policy(std::string_view policy, const workload& plan);

} // namespace hawthornstall::policy_bench
