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

/// Waiting tasks of a round that may be tried although only reservations keep them from a target:
/// in a burst thousands of tasks wait, and each try costs time.
constexpr std::size_t max_blocked_tasks = 32;

/// A reserved target that will be free this much later than forecast keeps its reservation.
constexpr core::duration_ms accepted_delay{10};

/// Searches for a target to reserve in one round. A search looks at all targets.
constexpr std::size_t max_searches = 4;

/// Most reservations of one service: a sixteenth of its usable targets, so that wrong forecasts
/// leave little capacity unused.
std::size_t max_reservations(std::size_t usable_targets) {
    constexpr std::size_t share = 16;
    return std::max<std::size_t>(usable_targets / share, 1);
}

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
        place_jobs(service, queue, now);
    }
    if (statistics_.is_due(now)) {
        effects_.events.push_back({"placement",
                                   {},
                                   statistics_.take(pool_.usage(), pool_.targets_examined(), now) +
                                       describe_reservations(),
                                   {}});
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

/// Starts tasks in the order of their jobs until no target has room for the smallest pending task.
void job_scheduler::place_jobs(std::string_view service, service_queue& queue, core::time_ms now) {
    placement_round round;
    if (queue.reserved.size() > 0) {
        drop_outdated_reservations(queue);
    }
    auto& pending = queue.pending;
    auto* job = pending.first();
    while (job != nullptr) {
        auto* const next = pending.after(*job);
        const auto unmet_before = round.unmet.size();
        const auto pending_before = job->pending_tasks;
        place_tasks(*job, queue, round, now);
        if (job->pending_tasks != pending_before) {
            pending.update(*job, now);
        }
        if (round.unmet.size() > unmet_before &&
            !pool_.has_free_target(service, pending.smallest_request(), now)) {
            return;
        }
        job = next;
    }
    queue.reserved.drop_unused();
}

/// Drops the reservations of tasks that do not wait any more.
void job_scheduler::drop_outdated_reservations(service_queue& queue) {
    queue.reserved.begin_round([&](const waiting_task& task, const reservation& item) {
        const auto job = jobs_.find(item.job);
        return job == jobs_.end() || job->second.number != task.first || job->second.ending ||
               job->second.tasks.at(task.second).state != detail::phase::pending;
    });
}

/// Starts pending tasks of one job until one of them fits nowhere; resource requests that failed
/// are added to the round, and larger ones are not tried.
void job_scheduler::place_tasks(job_record& job, service_queue& queue, placement_round& round,
                                core::time_ms now) {
    for (std::size_t index = 0; index < job.tasks.size(); ++index) {
        const auto& task = job.tasks[index];
        if (task.state != detail::phase::pending || task.not_before > now ||
            !is_ready(job, task.step)) {
            continue;
        }
        const auto& step = job.request.steps[task.step];
        const bool is_unmet = std::ranges::any_of(round.unmet, [&](const unmet_request& known) {
            return step.resources.holds(known.resources) &&
                   (known.label.empty() || known.label == step.required_label);
        });
        const auto result =
            is_unmet ? placement_result::unmet : place_task(job, index, queue, round, now);
        if (result == placement_result::started) {
            continue;
        }
        // A limit per target applies to this job alone: tasks of other jobs may still fit. A task
        // that only reservations block does not speak for shorter ones of its size.
        if (result == placement_result::blocked && round.blocked < detail::max_blocked_tasks) {
            ++round.blocked;
        } else if (!is_unmet && step.max_per_target == 0) {
            round.unmet.push_back({step.required_label, step.resources});
        }
        reserve_target(job, index, queue, round, now);
        return;
    }
}

/// Reserves the target on which a waiting task is forecast to fit first, or keeps the one that the
/// task has unless it will be free later than was forecast and another one earlier.
void job_scheduler::reserve_target(const job_record& job, std::size_t index, service_queue& queue,
                                   placement_round& round, core::time_ms now) {
    if (policy_ == placement_policy::fit) {
        return;
    }
    round.is_restricted = true;
    const auto& service = job.request.terms.service;
    const waiting_task task{job.number, index};
    const auto* const earlier = queue.reserved.find(task);
    if (earlier == nullptr &&
        queue.reserved.size() >= detail::max_reservations(pool_.usable_targets(service))) {
        return;
    }
    const auto excluded = targets_at_step_limit(job, job.tasks[index]);
    const placement_request request{.service = service,
                                    .step = &job.request.steps[job.tasks[index].step],
                                    .excluded = excluded,
                                    .reserved = &queue.reserved,
                                    .policy = policy_};
    const auto to_reservation = [&](forecast_fit&& fit) {
        return reservation{.job = job.request.id,
                           .target = std::move(fit.target),
                           .starts_at = fit.at,
                           .beside = fit.beside};
    };
    auto fit =
        earlier == nullptr ? std::nullopt : pool_.fit_on(earlier->target, request, ends_, now);
    const bool is_delayed =
        !fit || fit->at > std::max(earlier->starts_at, now) + detail::accepted_delay;
    if (is_delayed && round.searches < detail::max_searches) {
        ++round.searches;
        auto other = pool_.earliest_fit(request, ends_, now);
        if (other && (!fit || other->at < fit->at)) {
            queue.reserved.make(task, to_reservation(std::move(*other)));
            return;
        }
    }
    if (fit) {
        queue.reserved.keep(task, to_reservation(std::move(*fit)));
    }
}

std::string job_scheduler::describe_reservations() {
    if (policy_ == placement_policy::fit) {
        return {};
    }
    reservation_counts sum;
    std::size_t held = 0;
    for (auto& [service, queue] : queues_) {
        const auto counts = queue.reserved.take_counts();
        sum.made += counts.made;
        sum.moved += counts.moved;
        sum.used += counts.used;
        sum.backfill += counts.backfill;
        held += queue.reserved.size();
    }
    return "; reservations: " + std::to_string(sum.made) + " made, " + std::to_string(sum.moved) +
           " moved, " + std::to_string(sum.used) + " used, " + std::to_string(held) + " held, " +
           std::to_string(sum.backfill) + " tasks beside them";
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

job_scheduler::placement_result job_scheduler::place_task(job_record& job, std::size_t index,
                                                          service_queue& queue,
                                                          const placement_round& round,
                                                          core::time_ms now) {
    const auto& task = job.tasks[index];
    const auto excluded = targets_at_step_limit(job, task);
    const auto holders = detail::holders_of_runs(job);
    const auto* const own =
        policy_ == placement_policy::fit ? nullptr : queue.reserved.find({job.number, index});
    placement_request request{.service = job.request.terms.service,
                              .step = &job.request.steps[task.step],
                              .excluded = excluded,
                              .avoid = task.target,
                              .front_end = job.waiters.front().host,
                              .job_holders = holders,
                              .reserved = round.is_restricted ? &queue.reserved : nullptr,
                              .policy = policy_,
                              .own_target = own == nullptr ? std::string_view{} : own->target};
    if (auto chosen = pool_.pick(request, now)) {
        start_task(job, index, std::move(*chosen), queue, now);
        return placement_result::started;
    }
    if (!round.is_restricted || round.blocked >= detail::max_blocked_tasks) {
        return placement_result::unmet;
    }
    request.reserved = nullptr;
    return pool_.pick(request, now) ? placement_result::blocked : placement_result::unmet;
}

/// Enters a task that starts into the forecast and the reservations.
void job_scheduler::note_start(const job_record& job, std::size_t index, service_queue& queue,
                               core::time_ms now) {
    const auto& task = job.tasks[index];
    const auto& step = job.request.steps[task.step];
    const auto duration = pool_.expected_duration(task.target, step);
    const waiting_task waiting{job.number, index};
    if (queue.reserved.find(waiting) != nullptr) {
        queue.reserved.task_started(waiting, task.target);
    }
    queue.reserved.other_started(task.target, step.resources, now + duration);
    ends_.started(task.target, task.key, step.resources, now, duration);
}

void job_scheduler::start_task(job_record& job, std::size_t index, placement&& chosen,
                               service_queue& queue, core::time_ms now) {
    auto& task = job.tasks[index];
    const auto& step = job.request.steps[task.step];
    pool_.reserve(chosen.target, step.resources);
    set_state(job, task, detail::phase::running);
    task.key = ++last_key_;
    task.target = std::move(chosen.target);
    task.holder = std::move(chosen.holder);
    task.granted_at = now;
    task.overdue_at = now + detail::overdue_time(task, step);
    statistics_.granted(now - job.arrived);
    ++task.last_run;
    job.started = true;
    runs_[task.key] = {.job = job.request.id, .task = index};
    if (policy_ != placement_policy::fit) {
        note_start(job, index, queue, now);
    }
    const auto& waiter = job.waiters.front();
    effects_.messages.push_back({waiter.host, grant_run{.number = waiter.number,
                                                        .key = task.key,
                                                        .holder = task.holder,
                                                        .target = task.target,
                                                        .step = task.step,
                                                        .index = task.index,
                                                        .run = task.last_run}});
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
