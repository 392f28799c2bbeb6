#pragma once

/// Admission policies. They decide at a job's arrival whether it can meet its deadline. "Work" is
/// run time on a slot of speed 1.

#include "hawthornstall/core/ms_clock.hpp"

#include <algorithm>
#include <concepts>
#include <cstdint>
#include <optional>

namespace hawthornstall::scheduling {

/// Estimates about a new job and the queue that it would join.
struct admission_request {
    core::duration_ms time_left{};     ///< Time until the deadline of the job.
    double work_ahead_ms = 0.0;        ///< Work of the pending tasks that start before this job's.
    double job_work_ms = 0.0;          ///< Work of all tasks of the job.
    double overtaking_window_ms = 0.0; ///< Jobs that arrive up to this much later may start first.
    double total_speed = 0.0;          ///< Sum of the speeds of all slots in service.
    double longest_task_ms = 0.0; ///< Longest learned run time of a task; 0 if none is learned.
};

template <class Policy>
concept admission_policy = requires(const Policy policy, const admission_request& request) {
    // Returns nothing to admit the job, or the time after which the caller should try again.
    { policy.retry_after_if_refused(request) } -> std::same_as<std::optional<core::duration_ms>>;
};

/// Admits every job.
struct admit_all {
    [[nodiscard]] std::optional<core::duration_ms>
    retry_after_if_refused(const admission_request& /*request*/) const {
        return std::nullopt;
    }
};

/// Refuses a job that is expected to end after its deadline. A declared run time counts only
/// once its class is learned: a job refused because of a wrong one would never run, and the
/// estimate would never be corrected.
struct admit_feasible {
    /// Delay by jobs that overtake this one, assumed per unit of expected wait. With 0, the mean
    /// response time / ideal in the benchmark at 120 % load is 20 to 31; with 4, jobs are refused
    /// at 85 % load already.
    double overtaking_factor = 2.0;

    [[nodiscard]] std::optional<core::duration_ms>
    retry_after_if_refused(const admission_request& request) const {
        if (request.work_ahead_ms <= 0.0 || request.total_speed <= 0.0) {
            // Nothing is ahead of it, or no target is in service yet, for which it may wait until
            // its deadline.
            return std::nullopt;
        }
        const double wait_ms = (request.work_ahead_ms + request.job_work_ms) / request.total_speed;
        // Jobs can overtake this one only while it waits, and only those that arrive within
        // `overtaking_window_ms`.
        const double end_ms = wait_ms +
                              std::min(request.overtaking_window_ms, overtaking_factor * wait_ms) +
                              request.longest_task_ms;
        const double excess = end_ms - static_cast<double>(request.time_left.count());
        if (excess <= 0.0) {
            return std::nullopt;
        }
        return core::duration_ms{static_cast<std::int64_t>(excess) + 1};
    }
};

static_assert(admission_policy<admit_all>);
static_assert(admission_policy<admit_feasible>);

} // namespace hawthornstall::scheduling
