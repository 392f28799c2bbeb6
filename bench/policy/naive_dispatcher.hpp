#pragma once

/// The baseline that the product's scheduler is compared with.

#include "hawthornstall/scheduling/attempt_table.hpp"
#include "policy/dispatch_policy.hpp"

#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace hawthornstall::policy_bench {

/// Sends each task immediately to a random known target, whatever the target's load, speed or
/// failures. A task that was refused, or that is idempotent and failed, is sent to a random target
/// again after 10 ms, any number of times. A job that is still open at its deadline ends then.
class naive_dispatcher {
public:
    static constexpr core::duration_ms retry_delay{10};

    explicit naive_dispatcher(std::uint64_t seed) : engine_(seed) {}

    scheduling::target_id set_target(std::string_view name, const core::target_capacity& capacity,
                                     bool available);
    void remove_target(std::string_view name);
    void submit(scheduling::job_id id, const scheduling::job_terms& terms, core::time_ms now);
    void cancel(scheduling::job_id id);
    void sent(scheduling::attempt_id /*id*/, core::time_ms /*now*/) {}
    void not_sent(scheduling::attempt_id id, scheduling::not_sent_cause cause, core::time_ms now);
    void finished(scheduling::attempt_id id, scheduling::attempt_result result, core::time_ms now);
    void decide(core::time_ms now, scheduling::decisions& out);

private:
    using job_state = scheduling::job_state;

    /// A task that waits for its next attempt.
    struct retry {
        scheduling::job_id job{};
        std::uint32_t task = 0;
    };

    void start(job_state& job, std::uint32_t task, core::time_ms now);
    void end_job(job_state& job, core::outcome_class outcome, scheduling::end_reason reason);
    void end_unanswered(job_state& job, scheduling::end_reason reason);

    std::mt19937_64 engine_;
    std::vector<std::pair<std::string, scheduling::target_id>> targets_;
    scheduling::attempt_table attempts_;
    std::unordered_map<scheduling::job_id, std::unique_ptr<job_state>> jobs_;
    std::set<std::pair<core::time_ms, scheduling::job_id>> deadlines_;
    std::multimap<core::time_ms, retry> retries_;
    std::uint32_t next_target_ = 0;
    scheduling::decisions decisions_;
};

static_assert(dispatch_policy<naive_dispatcher>);

} // namespace hawthornstall::policy_bench
