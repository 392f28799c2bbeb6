#pragma once

/// Jobs of one service that have pending tasks, in the order in which these are placed.

#include "hawthornstall/runs/job_record.hpp"

#include <cstdint>
#include <map>
#include <tuple>
#include <utility>

namespace hawthornstall::runs {

/// Priority queue of the jobs with pending tasks. Started jobs come first, since their callers wait
/// for all tasks of a job; then those that can still meet their objective; last the late ones.
/// Within each class the earliest objective comes first. A job is due for review when time alone
/// may have changed its class, so a round of placement does not have to look at every pending job.
/// The queue stores pointers: a job must be erased from it before it is destroyed.
class pending_jobs {
public:
    /// Inserts `job` or moves it to its position as of `now`. Removes it when it is ending or has
    /// no pending task.
    void update(job_record& job, core::time_ms now);

    /// Removes `job` if it is in the queue.
    void erase(job_record& job);

    /// The next job whose review is due at `now`; null when there is none. The job stays due until
    /// update() or erase() is called for it.
    [[nodiscard]] job_record* due_review(core::time_ms now) const;

    /// The job at the head of the queue; null when the queue is empty.
    [[nodiscard]] job_record* first() const;

    /// The job after `job`, whose position must be set; null when it is the last one.
    [[nodiscard]] job_record* after(const job_record& job) const;

    /// Pending work ahead of `job` if it were in time, in thousandths of a core times ms.
    [[nodiscard]] std::int64_t work_before(const job_record& job) const;

    /// Pending work of all jobs, in thousandths of a core times ms.
    [[nodiscard]] std::int64_t pending_work() const noexcept { return pending_work_; }

    /// Lower bound of the resource requests of all pending tasks.
    [[nodiscard]] const core::resources& smallest_request() const noexcept {
        return smallest_request_;
    }

    [[nodiscard]] bool empty() const noexcept { return by_rank_.empty(); }

private:
    /// The number of the job breaks ties in order of arrival.
    using rank = std::tuple<job_urgency, core::time_ms, std::uint64_t>;
    using review_key = std::pair<core::time_ms, std::uint64_t>;

    [[nodiscard]] static rank rank_of(const job_record& job);
    [[nodiscard]] static review_key review_of(const job_record& job);

    std::map<rank, job_record*> by_rank_;
    std::map<review_key, job_record*> by_review_time_;
    std::int64_t pending_work_ = 0;
    core::resources smallest_request_{};
};

} // namespace hawthornstall::runs
