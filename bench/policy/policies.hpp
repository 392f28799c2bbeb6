#pragma once

/// The policies that the benchmark weighs, by name.

#include "policy/run_result.hpp"
#include "policy/workload.hpp"

#include <span>
#include <string_view>

namespace hawthornstall::policy_bench {

/// Name of the policy that the product uses.
constexpr std::string_view product_policy = "product";

/// Names of the naive policies.
constexpr std::string_view naive_queue_policy = "naive, queue at target";
constexpr std::string_view naive_retry_policy = "naive, retry after 10 ms";

/// All names, the product first.
[[nodiscard]] std::span<const std::string_view> policy_names();

/// Runs the policy of that name; the name must be known.
[[nodiscard]] run_result run_policy(std::string_view policy, const workload& plan);

} // namespace hawthornstall::policy_bench
