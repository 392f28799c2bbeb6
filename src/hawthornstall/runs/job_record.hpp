#pragma once

/// State that the scheduler keeps for each job and task.

#include "hawthornstall/core/ms_clock.hpp"
#include "hawthornstall/runs/job.hpp"

#include <cstdint>
#include <string>
#include <tuple>
#include <vector>

namespace hawthornstall::runs {

/// A front end that waits for the result of a job; identified by host and number.
struct job_waiter {
    std::string host{};
    std::uint64_t number = 0;       ///< Number of the submission.
    std::uint64_t first_number = 0; ///< Number of the first submission for the same request.

    bool operator==(const job_waiter& other) const {
        return std::tie(host, number) == std::tie(other.host, other.number);
    }
    bool operator<(const job_waiter& other) const {
        return std::tie(host, number) < std::tie(other.host, other.number);
    }
};

/// State of one task.
struct task_record {
    enum class phase : std::uint8_t { pending, running, done };

    std::uint32_t step = 0;
    std::uint32_t index = 0;
    phase state = phase::pending;
    std::uint32_t last_run = 0;      ///< Number of the latest run; runs count from 1.
    std::uint32_t overdue_stops = 0; ///< Stops sent because a run was overdue.
    std::uint32_t failures = 0;      ///< Runs that ended as failed.
    std::uint64_t key = 0;           ///< Key of the current run.
    std::string target{};            ///< Target of the current or latest run.
    std::string holder{};            ///< Lease holder of that target.
    core::time_ms granted_at{};      ///< When the current run was granted.
    core::time_ms overdue_at{};      ///< When the current run is stopped as overdue.
    core::time_ms not_before{}; ///< Earliest start; until then an earlier run may still execute.
};

/// Urgency class of a pending job, the most urgent first.
enum class job_urgency : std::uint8_t { started, in_time, late };

/// Position of a job in pending_jobs, which alone writes it.
struct queue_position {
    bool is_queued = false;
    job_urgency urgency = job_urgency::in_time;
    core::time_ms review_at{};
    std::int64_t work = 0; ///< Pending work that pending_jobs has included in its total.
};

/// State of one job.
struct job_record {
    job_request request{};
    std::vector<job_waiter> waiters{};
    std::vector<task_record> tasks{};
    core::time_ms arrived{};
    core::time_ms due{};               ///< Objective: a result by then is in time.
    core::time_ms useful_until{};      ///< Callers do not use a later result.
    core::duration_ms critical_path{}; ///< Declared run time of the longest chain of steps.
    std::uint64_t number = 0;          ///< Order of arrival.
    std::int64_t pending_work = 0;     ///< Of the pending tasks: thousandths of a core times ms.
    std::uint32_t pending_tasks = 0;
    queue_position position{};
    bool started = false; ///< A run of at least one task has been granted.
    bool ending = false;  ///< No task starts any more; `result` is sent after the last run.
    job_result result = job_result::completed;
    std::string reason{};
};

/// Declared run time of the longest chain of dependent steps.
[[nodiscard]] core::duration_ms critical_path_time(const job_request& job);

/// Whether all tasks of the steps that `step` depends on are done.
[[nodiscard]] bool is_ready(const job_record& job, std::uint32_t step);

/// Expected time from the start of a job to its result, with a margin for declared run times that
/// are too short.
[[nodiscard]] core::duration_ms expected_time(const job_record& job);

/// Processor time that one task of `step` reserves, in thousandths of a core times ms.
[[nodiscard]] std::int64_t work_of(const job_step& step);

/// Creates the record of a job that arrived at `now`, with one pending task record per task.
[[nodiscard]] job_record make_job_record(job_request request, core::time_ms now);

} // namespace hawthornstall::runs
