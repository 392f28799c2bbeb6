#pragma once

/// The concept of a policy that the simulation can run: the product's scheduler and the naive
/// dispatcher.

#include "hawthornstall/core/target.hpp"
#include "hawthornstall/scheduling/decisions.hpp"
#include "hawthornstall/scheduling/job_terms.hpp"

#include <concepts>
#include <string_view>

namespace hawthornstall::policy_bench {

/// The part of the interface of scheduling::scheduler that the simulation uses.
template <class Policy>
concept dispatch_policy = requires(Policy policy, std::string_view name,
                                   const core::target_capacity& capacity, scheduling::job_id job,
                                   const scheduling::job_terms& terms,
                                   scheduling::attempt_id attempt, core::time_ms now,
                                   scheduling::decisions& out) {
    policy.set_target(name, capacity, true);
    policy.remove_target(name);
    policy.submit(job, terms, now);
    policy.cancel(job);
    policy.sent(attempt, now);
    policy.not_sent(attempt, scheduling::not_sent_cause::journal_failed, now);
    policy.finished(attempt, scheduling::attempt_result::answered, now);
    policy.decide(now, out);
};

/// The simulated processes around the policy.
struct environment_options {
    bool has_owner = true; ///< An entry host forwards jobs to an owner, which journals starts.
    bool queues_at_target = false; ///< A full target queues a task; otherwise it refuses it.
};

} // namespace hawthornstall::policy_bench
