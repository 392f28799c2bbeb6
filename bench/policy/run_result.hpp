#pragma once

/// The result of one run of one policy on one workload.

#include <cstdint>
#include <string>
#include <vector>

namespace hawthornstall::policy_bench {

/// Mean and quantiles of a sample.
struct distribution {
    double mean = 0.0;
    double p50 = 0.0;
    double p99 = 0.0;
};

/// Summary of a sample; all 0 for an empty one.
[[nodiscard]] distribution summarise(std::vector<double> sample);

/// Number of breaches of the rules that every dispatcher has to meet. All are 0 in a correct run.
struct specification_breaches {
    std::uint64_t ended_not_once = 0;     ///< Jobs without an end decision, or with more than one.
    std::uint64_t partial_answers = 0;    ///< Jobs ended as answered with unanswered tasks.
    std::uint64_t false_refusals = 0;     ///< Jobs ended as refused_not_run although a task ran.
    std::uint64_t late_refusals = 0;      ///< Refusals given after the deadline.
    std::uint64_t repeated_starts = 0;    ///< Repeated runs of tasks that are not idempotent.
    std::uint64_t overfilled_targets = 0; ///< Tasks sent to a target that was full.

    [[nodiscard]] std::uint64_t total() const {
        return ended_not_once + partial_answers + false_refusals + late_refusals + repeated_starts +
               overfilled_targets;
    }
};

/// Counts and derived figures of a run.
struct run_result {
    std::string workload;
    std::string policy;
    std::uint64_t jobs = 0;
    std::uint64_t tasks = 0;
    std::uint64_t answered_jobs = 0;
    std::uint64_t served_tasks = 0; ///< Tasks of jobs answered in time.
    std::uint64_t refused_jobs = 0;
    std::uint64_t missed_deadlines = 0; ///< Not answered by the deadline, nor refused.
    std::uint64_t failed_jobs = 0; ///< Ended before the deadline, neither answered nor refused.
    std::uint64_t cancelled_jobs = 0;
    distribution ratio; ///< Response time / ideal of the answered jobs.
    /// Mean of the same over all jobs that were not cancelled; an unanswered job is charged its
    /// deadline as response time.
    double charged_ratio = 0.0;
    double messages_per_task = 0.0;      ///< All messages / served tasks.
    double wasted_per_served_task = 0.0; ///< Messages that no answer needed / served tasks.
    double goodput = 0.0;                ///< Useful work / capacity within the goodput window.
    double idempotent_answered = 0.0;    ///< Served share of the tasks of idempotent jobs.
    specification_breaches breaches;
};

} // namespace hawthornstall::policy_bench
