#include "hawthornstall/runs/job_scheduler.hpp"

#include <algorithm>
#include <utility>

// Rounds of placement: which tasks start, and which runs take too long.
namespace hawthornstall::runs {
namespace detail {

/// A run that takes this many times as long as declared is assumed to be stuck on a faulty target.
/// Healthy runs stay below: declared run times are off by half, and the speeds of targets differ by
/// a factor of two.
constexpr double overdue_factor = 4.0;

/// Added to the time limit of a run, so that a short pause does not make short tasks overdue.
constexpr core::duration_ms overdue_slack{600};

/// Interval between two searches for overdue runs.
constexpr core::duration_ms overdue_interval{100};

using phase = task_record::phase;

/// The lease holders that the running tasks of a job depend on.
std::vector<std::string_view> holders_of_runs(const job_record& job) {
    std::vector<std::string_view> holders;
    for (const auto& task : job.tasks) {
        if (task.state == phase::running &&
            std::ranges::find(holders, task.holder) == holders.end()) {
            holders.emplace_back(task.holder);
        }
    }
    return holders;
}

/// Time limit of a run: a fixed slack plus a multiple of the declared run time, which doubles with
/// each stop of an overdue run of the task.
core::duration_ms overdue_time(const task_record& task, const job_step& step) {
    const auto factor =
        overdue_factor * static_cast<double>(std::uint64_t{1} << task.overdue_stops);
    return overdue_slack + core::duration_ms{static_cast<core::duration_ms::rep>(
                               factor * static_cast<double>(step.estimated.count()))};
}

} // namespace detail

void job_scheduler::place(core::time_ms now) {
    stop_overdue(now);
    for (auto& [service, queue] : queues_) {
        while (auto* const job = queue.pending.due_review(now)) {
            review(*job, now);
        }
        place_jobs(service, queue.pending, now);
    }
    if (statistics_.is_due(now)) {
        effects_.events.push_back(
            {"placement", {}, statistics_.take(pool_.usage(), pool_.targets_examined(), now), {}});
    }
}

/// Ends a job that has waited too long, or updates its position when it has become late.
void job_scheduler::review(job_record& job, core::time_ms now) {
    if (job.started) {
        start_ending(job, job_result::lost, "not done 5 s after its result became useless", now);
    } else if (is_infeasible(job, now)) {
        start_ending(job, job_result::refused,
                     "the deadline would pass before the end; " +
                         pool_.describe(job.request.steps.front().resources),
                     now);
    } else if (knows_capacity(now) && is_infeasible(job, now + expected_wait_when_late(job, now))) {
        start_ending(job, job_result::refused,
                     "late, and the pending jobs would delay its result until it is useless", now);
    } else {
        queue_of(job).update(job, now);
        return;
    }
    finish_if_complete(job, now);
}

/// Starts tasks in the order of their jobs until no target can take any pending task.
void job_scheduler::place_jobs(std::string_view service, pending_jobs& queue, core::time_ms now) {
    std::vector<unmet_request> unmet;
    auto* job = queue.first();
    while (job != nullptr) {
        auto* const next = queue.after(*job);
        const auto unmet_before = unmet.size();
        const auto pending_before = job->pending_tasks;
        place_tasks(*job, unmet, now);
        if (job->pending_tasks != pending_before) {
            queue.update(*job, now);
        }
        if (unmet.size() > unmet_before &&
            !pool_.has_free_target(service, queue.smallest_request(), now)) {
            return;
        }
        job = next;
    }
}

/// Starts pending tasks of one job until one of them fits nowhere; resource requests that failed
/// are added to `unmet`, and larger ones are not tried.
void job_scheduler::place_tasks(job_record& job, std::vector<unmet_request>& unmet,
                                core::time_ms now) {
    for (std::size_t index = 0; index < job.tasks.size(); ++index) {
        const auto& task = job.tasks[index];
        if (task.state != detail::phase::pending || task.not_before > now ||
            !is_ready(job, task.step)) {
            continue;
        }
        const auto& step = job.request.steps[task.step];
        const bool is_unmet = std::ranges::any_of(unmet, [&](const unmet_request& known) {
            return step.resources.holds(known.resources) &&
                   (known.label.empty() || known.label == step.required_label);
        });
        if (is_unmet) {
            return;
        }
        if (!place_task(job, index, now)) {
            // A limit per target applies to this job alone: tasks of other jobs may still fit.
            if (step.max_per_target == 0) {
                unmet.push_back({step.required_label, step.resources});
            }
            return;
        }
    }
}

/// Targets that already run as many tasks of the step as its limit per target allows.
std::vector<std::string> job_scheduler::targets_at_step_limit(const job_record& job,
                                                              const task_record& task) const {
    std::vector<std::string> full;
    const auto limit = job.request.steps[task.step].max_per_target;
    if (limit == 0) {
        return full;
    }
    std::map<std::string, std::uint32_t> count;
    for (const auto& other : job.tasks) {
        if (other.step == task.step && other.state == detail::phase::running &&
            ++count[other.target] >= limit) {
            full.push_back(other.target);
        }
    }
    return full;
}

bool job_scheduler::place_task(job_record& job, std::size_t index, core::time_ms now) {
    auto& task = job.tasks[index];
    const auto& step = job.request.steps[task.step];
    const auto excluded = targets_at_step_limit(job, task);
    const auto holders = detail::holders_of_runs(job);
    auto chosen = pool_.pick({.service = job.request.terms.service,
                              .step = &step,
                              .excluded = excluded,
                              .avoid = task.target,
                              .front_end = job.waiters.front().host,
                              .job_holders = holders},
                             now);
    if (!chosen) {
        return false;
    }
    pool_.reserve(chosen->target, step.resources);
    set_state(job, task, detail::phase::running);
    task.key = ++last_key_;
    task.target = std::move(chosen->target);
    task.holder = std::move(chosen->holder);
    task.granted_at = now;
    task.overdue_at = now + detail::overdue_time(task, step);
    statistics_.granted(now - job.arrived);
    ++task.last_run;
    job.started = true;
    runs_[task.key] = {.job = job.request.id, .task = index};
    const auto& waiter = job.waiters.front();
    effects_.messages.push_back({waiter.host, grant_run{.number = waiter.number,
                                                        .key = task.key,
                                                        .holder = task.holder,
                                                        .target = task.target,
                                                        .step = task.step,
                                                        .index = task.index,
                                                        .run = task.last_run}});
    return true;
}

/// Stops overdue runs, so that their tasks start again elsewhere with a longer time limit. A run
/// that does not end is stopped again. This also recovers runs whose grant or start message was
/// lost.
void job_scheduler::stop_overdue(core::time_ms now) {
    if (now < overdue_check_due_) {
        return;
    }
    overdue_check_due_ = now + detail::overdue_interval;
    pool_.readmit(now);
    for (const auto& [key, run] : runs_) {
        auto& job = jobs_.at(run.job);
        auto& task = job.tasks.at(run.task);
        if (task.overdue_at > now) {
            continue;
        }
        ++task.overdue_stops;
        task.overdue_at = now + detail::overdue_time(task, job.request.steps[task.step]);
        effects_.messages.push_back(
            {task.holder, stop_run{.key = task.key, .target = task.target}});
        effects_.events.push_back(
            {"run_overdue", job.request.id, "on target " + task.target, now - job.arrived});
    }
}

} // namespace hawthornstall::runs
