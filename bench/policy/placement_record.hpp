#pragma once

/// Records what happens in a run of the placement simulation and derives its figures.

#include "policy/placement_workload.hpp"
#include "policy/run_result.hpp"

#include <array>
#include <cstdint>
#include <span>
#include <vector>

namespace hawthornstall::policy_bench {

/// How a job ended for its caller.
enum class placement_outcome : std::uint8_t {
    in_time,  ///< Completed within its objective.
    late,     ///< Completed after its objective.
    refused,  ///< No task has run.
    not_done, ///< Failed, lost, or without a result when the caller left.
};

constexpr std::size_t placement_outcome_count = 4;

/// Numbers of measured jobs.
struct placement_counts {
    std::uint64_t jobs = 0;
    std::array<std::uint64_t, placement_outcome_count> by_outcome{};

    /// Share of the jobs with this outcome; 0 if there are no jobs.
    [[nodiscard]] double share(placement_outcome outcome) const;
};

/// Figures of a run. The breaches count all jobs, the others only the measured ones.
struct placement_result {
    placement_counts all;
    std::array<placement_counts, placement_queue_count> by_queue;
    distribution large_wait_ms; ///< Wait of the largest tenth of the tasks for their first grant.
    double large_not_started = 0.0; ///< Share of the largest tenth that was never granted.
    double used_share = 0.0;        ///< Used processor time / that of the targets not lost.
    /// Share of the time of the targets in which a task waited while nothing was granted on the
    /// target, which could have held any task.
    double idle_share = 0.0;
    std::uint64_t unanswered = 0;     ///< Breach: jobs without an answer.
    std::uint64_t answered_twice = 0; ///< Breach: further answers to answered jobs.
    std::uint64_t overfilled = 0;     ///< Breach: starts on a target without room for the run.
    bool is_idle_at_end = false;      ///< The scheduler has no job after the last answer.
};

/// Collects the events of one run. Times are relative to the first possible arrival.
class placement_record {
public:
    explicit placement_record(const placement_workload& plan);

    void answered(std::size_t job, placement_outcome outcome);
    void granted(std::size_t job, std::size_t task, core::duration_ms now);
    void used(std::int64_t cpu_millis, core::duration_ms begin, core::duration_ms end);
    void overfilled() { ++result_.overfilled; }

    /// This many targets were idle from `begin` to `end` while a task waited.
    void idle(std::size_t targets, core::duration_ms begin, core::duration_ms end);

    [[nodiscard]] bool is_answered(std::size_t job) const { return answers_.at(job) > 0; }
    [[nodiscard]] std::size_t unanswered() const { return unanswered_; }

    [[nodiscard]] placement_result result(bool is_idle_at_end) const;

private:
    /// Length of the part of [begin, end) that is measured.
    [[nodiscard]] core::duration_ms measured_part(core::duration_ms begin,
                                                  core::duration_ms end) const;

    const placement_workload& plan_;
    std::int64_t large_cpu_millis_;
    std::vector<std::uint32_t> answers_;        ///< By job.
    std::vector<std::vector<bool>> is_granted_; ///< By job and task.
    std::vector<double> large_waits_ms_;
    std::size_t unanswered_;
    std::int64_t used_ = 0; ///< In thousandths of a core times ms.
    std::int64_t idle_ = 0; ///< In targets times ms.
    placement_result result_;
};

} // namespace hawthornstall::policy_bench
