#pragma once

/// What one run of one policy on one workload gave.

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

[[nodiscard]] distribution summarise(std::vector<double> sample);

/// Breaches of the specification that every dispatcher has to meet. All are 0 in a correct run.
struct legality {
    std::uint64_t ended_not_once = 0;     ///< Jobs without an end, or with two.
    std::uint64_t partial_answers = 0;    ///< Answered jobs with tasks that were not answered.
    std::uint64_t false_refusals = 0;     ///< "Not run" although a task ran.
    std::uint64_t late_refusals = 0;      ///< Refusals given after the deadline.
    std::uint64_t repeated_starts = 0;    ///< Non-idempotent tasks that ran twice.
    std::uint64_t overfilled_targets = 0; ///< Tasks beyond the capacity of a target.

    [[nodiscard]] std::uint64_t total() const {
        return ended_not_once + partial_answers + false_refusals + late_refusals + repeated_starts +
               overfilled_targets;
    }
};

struct run_result {
    std::string workload;
    std::string policy;
    std::uint64_t jobs = 0;
    std::uint64_t tasks = 0;
    std::uint64_t answered_jobs = 0;
    std::uint64_t served_tasks = 0; ///< Tasks of answered jobs.
    std::uint64_t refused_jobs = 0;
    std::uint64_t missed_deadlines = 0; ///< Jobs that had started and were not answered in time.
    std::uint64_t failed_jobs = 0; ///< Ended before the deadline, neither answered nor refused.
    std::uint64_t cancelled_jobs = 0;
    distribution ratio; ///< Response time / ideal of answered jobs.
    double charged_ratio =
        0.0; ///< Mean over all jobs but cancelled ones; others count the deadline.
    double messages_per_task = 0.0; ///< All messages / served tasks.
    double wasted_per_served_task = 0.0;
    double goodput = 0.0;             ///< Useful work / capacity while jobs arrive.
    double idempotent_answered = 0.0; ///< Share of the tasks of idempotent jobs.
    legality breaches;
};

} // namespace hawthornstall::policy_bench
