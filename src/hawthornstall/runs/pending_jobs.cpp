#include "hawthornstall/runs/pending_jobs.hpp"

namespace hawthornstall::runs {
namespace detail {

/// A started job is given up when it is still not done this long after its result has become
/// useless. If the deadline comes first, its front end answers then and cancels the job; the limit
/// then applies only when the cancellation is lost.
constexpr core::duration_ms started_job_grace{5'000};

job_urgency urgency_at(const job_record& job, core::time_ms now) {
    if (job.started) {
        return job_urgency::started;
    }
    return now + expected_time(job) > job.due ? job_urgency::late : job_urgency::in_time;
}

/// When the urgency of a job changes next, or when the job is to be given up.
core::time_ms review_time(const job_record& job) {
    switch (job.position.urgency) {
    case job_urgency::started:
        return job.useful_until + started_job_grace;
    case job_urgency::in_time:
        return job.due - expected_time(job) + core::duration_ms{1};
    case job_urgency::late:
        break;
    }
    return job.useful_until - job.critical_path + core::duration_ms{1};
}

} // namespace detail

pending_jobs::rank pending_jobs::rank_of(const job_record& job) {
    return {job.position.urgency, job.due, job.number};
}

pending_jobs::review_key pending_jobs::review_of(const job_record& job) {
    return {job.position.review_at, job.number};
}

void pending_jobs::update(job_record& job, core::time_ms now) {
    erase(job);
    if (job.ending || job.pending_tasks == 0) {
        return;
    }
    if (by_rank_.empty()) {
        smallest_request_ = job.request.steps.front().resources;
    }
    for (const auto& step : job.request.steps) {
        smallest_request_ = smallest(smallest_request_, step.resources);
    }
    job.position.urgency = detail::urgency_at(job, now);
    job.position.review_at = detail::review_time(job);
    job.position.is_queued = true;
    job.position.work = job.pending_work;
    pending_work_ += job.position.work;
    by_rank_.emplace(rank_of(job), &job);
    by_review_time_.emplace(review_of(job), &job);
}

void pending_jobs::erase(job_record& job) {
    if (job.position.is_queued) {
        by_rank_.erase(rank_of(job));
        by_review_time_.erase(review_of(job));
        pending_work_ -= job.position.work;
        job.position.is_queued = false;
    }
}

job_record* pending_jobs::due_review(core::time_ms now) const {
    const auto next = by_review_time_.begin();
    return next == by_review_time_.end() || next->first.first > now ? nullptr : next->second;
}

job_record* pending_jobs::first() const {
    return by_rank_.empty() ? nullptr : by_rank_.begin()->second;
}

job_record* pending_jobs::after(const job_record& job) const {
    const auto next = by_rank_.upper_bound(rank_of(job));
    return next == by_rank_.end() ? nullptr : next->second;
}

std::int64_t pending_jobs::work_before(const job_record& job) const {
    std::int64_t work = 0;
    for (const auto& [rank, other] : by_rank_) {
        const auto urgency = other->position.urgency;
        if (urgency == job_urgency::late ||
            (urgency == job_urgency::in_time && other->due > job.due)) {
            break;
        }
        work += other == &job ? 0 : other->pending_work;
    }
    return work;
}

} // namespace hawthornstall::runs
