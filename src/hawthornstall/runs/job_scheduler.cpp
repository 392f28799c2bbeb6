#include "hawthornstall/runs/job_scheduler.hpp"

#include <algorithm>
#include <utility>

namespace hawthornstall::runs {
namespace detail {

/// Share of the targets' capacity that tasks can use. The rest is fragmented: what is free on a
/// target beside its tasks is too small for another one.
constexpr double fillable_share = 0.8;

/// A job that is older when it arrives comes from another scheduler, together with all others that
/// were open there. These say nothing about the rate at which work arrives.
constexpr core::duration_ms resubmission_age{200};

using phase = task_record::phase;

/// Time that `cpu_millis` thousandths of a core need for `work`, but at most `limit`.
core::duration_ms time_for(std::int64_t work, double cpu_millis, core::duration_ms limit) {
    const auto longest = static_cast<double>(limit.count());
    const auto time =
        cpu_millis < 1.0 ? longest : std::min(longest, static_cast<double>(work) / cpu_millis);
    return core::duration_ms{static_cast<core::duration_ms::rep>(time)};
}

bool has_running(const job_record& job) {
    return std::ranges::any_of(
        job.tasks, [](const task_record& task) { return task.state == phase::running; });
}

} // namespace detail

void job_scheduler::start_scheduling() {
    is_scheduling_ = true;
    pool_.invalidate();
}

void job_scheduler::submit(const std::string& host, const submit_job& message, core::time_ms now) {
    const job_waiter waiter{host, message.number, message.first_number};
    const auto found = jobs_.find(message.job.id);
    if (found != jobs_.end()) {
        add_waiter(found->second, waiter);
        return;
    }
    waiters_[waiter] = message.job.id;
    auto& job = jobs_[message.job.id];
    job = make_job_record(message.job, now - message.age);
    job.number = ++last_number_;
    job.waiters.push_back(waiter);
    const auto reason = reason_to_refuse(job, now);
    if (!reason.empty()) {
        start_ending(job, job_result::refused, reason, now);
        finish_if_complete(job, now);
        return;
    }
    auto& queue = queues_[job.request.terms.service];
    if (message.age < detail::resubmission_age) {
        queue.arrivals.add(job.pending_work, now);
        queue.arrivals_by_objective.add(job.due - job.arrived, job.pending_work, now);
    }
    queue.pending.update(job, now);
}

/// Adds a waiter to a job that is in progress; all its waiters get the result. A submission
/// replaces earlier ones for the same request, whose cancel_job may be lost or still on its way.
void job_scheduler::add_waiter(job_record& job, const job_waiter& waiter) {
    const auto earlier = std::ranges::find_if(job.waiters, [&](const job_waiter& other) {
        return other.host == waiter.host && other.first_number == waiter.first_number;
    });
    if (earlier == job.waiters.end()) {
        job.waiters.push_back(waiter);
        waiters_[waiter] = job.request.id;
        return;
    }
    // Messages on an old and a new connection may overtake each other.
    if (waiter.number <= earlier->number) {
        return;
    }
    waiters_.erase(*earlier);
    waiters_[waiter] = job.request.id;
    *earlier = waiter;
    if (earlier == job.waiters.begin()) {
        // The front end ignores the grants that were sent for the earlier submission.
        stop_runs(job);
    }
}

std::string job_scheduler::reason_to_refuse(const job_record& job, core::time_ms now) const {
    if (!knows_capacity(now)) {
        // The free capacity is not known yet, so only jobs that no capacity could save are refused.
        return is_infeasible(job, now) ? "the deadline would pass before the end" : "";
    }
    const bool fits = std::ranges::all_of(job.request.steps, [&](const job_step& step) {
        return pool_.fits_empty_target(job.request.terms.service, step);
    });
    if (!fits) {
        return "no known target can hold a task of the job";
    }
    if (is_infeasible(job, now)) {
        return "the deadline would pass before the end";
    }
    const auto wait = expected_wait(job, now);
    if (is_infeasible(job, now + wait)) {
        return "the queue is longer than the deadline; " + describe_forecast(job, wait);
    }
    return {};
}

/// What a refusal is based on, for the log.
std::string job_scheduler::describe_forecast(const job_record& job, core::duration_ms wait) const {
    constexpr std::int64_t millis_per_core = 1'000;
    const auto& service = job.request.terms.service;
    const auto queue = queues_.find(service);
    const auto pending = queue == queues_.end() ? 0 : queue->second.pending.pending_work();
    return "forecast to wait " + std::to_string(wait.count()) + " ms, " +
           std::to_string(pool_.usable_cpu_millis(service) / millis_per_core) + " cores usable, " +
           std::to_string(pending / (millis_per_core * millis_per_core)) + " core seconds pending";
}

/// Whether this host schedules and all lease holders have had time to report since the first report
/// arrived.
bool job_scheduler::knows_capacity(core::time_ms now) const {
    return is_scheduling_ && pool_.has_all_reports(now);
}

/// Whether the result would be useless even if the job started at `now`.
bool job_scheduler::is_infeasible(const job_record& job, core::time_ms now) const {
    return now + job.critical_path > job.useful_until;
}

/// Processor capacity of the service's targets that tasks can use, in thousandths of a core.
double job_scheduler::fillable_cpu_millis(std::string_view service) const {
    return static_cast<double>(pool_.usable_cpu_millis(service)) * detail::fillable_share;
}

/// Time that the targets need for the work that goes before `job`, now or later, at most its
/// deadline.
core::duration_ms job_scheduler::expected_wait(const job_record& job, core::time_ms now) const {
    wait_question question{.cpu_millis = fillable_cpu_millis(job.request.terms.service),
                           .time_until_due = job.due - now,
                           .longest = job.request.terms.deadline};
    const auto queue = queues_.find(job.request.terms.service);
    if (queue == queues_.end()) {
        return forecast_wait(question, {});
    }
    question.work_ahead = queue->second.pending.work_before(job);
    return forecast_wait(question, queue->second.arrivals_by_objective.rates(now));
}

/// When the caller of a refused job is told to come back.
core::duration_ms job_scheduler::retry_delay(const job_record& job, core::time_ms now) {
    if (!knows_capacity(now)) {
        return retry_schedule::shortest;
    }
    const auto& service = job.request.terms.service;
    auto& queue = queues_[service];
    const free_capacity capacity{.cpu_millis =
                                     fillable_cpu_millis(service) - queue.arrivals.cpu_millis(now),
                                 .pending_work = queue.pending.pending_work()};
    return queue.retries.invite(job.pending_work, capacity, now);
}

/// A late job waits for all other pending jobs and for those that arrive in the meantime.
core::duration_ms job_scheduler::expected_wait_when_late(const job_record& job,
                                                         core::time_ms now) const {
    const auto& service = job.request.terms.service;
    const auto found = queues_.find(service);
    if (found == queues_.end()) {
        return expected_wait(job, now);
    }
    const auto& queue = found->second;
    const auto own_work = job.position.is_queued ? job.pending_work : 0;
    return detail::time_for(queue.pending.pending_work() - own_work,
                            fillable_cpu_millis(service) - queue.arrivals.cpu_millis(now),
                            job.request.terms.deadline);
}

pending_jobs& job_scheduler::queue_of(const job_record& job) {
    return queues_[job.request.terms.service].pending;
}

void job_scheduler::cancel(const std::string& host, const cancel_job& message, core::time_ms now) {
    const job_waiter waiter{host, message.number};
    const auto found = waiters_.find(waiter);
    if (found != waiters_.end()) {
        auto& job = jobs_.at(found->second);
        remove_waiter(job, waiter, "the caller has left", now);
        finish_if_complete(job, now);
    }
}

void job_scheduler::cancel_named(const std::string& host, const cancel_by_id& message,
                                 core::time_ms now) {
    const auto found = jobs_.find(message.job);
    effects_.messages.push_back(
        {host, cancel_result{.number = message.number, .found = found != jobs_.end()}});
    if (found == jobs_.end()) {
        return;
    }
    auto& job = found->second;
    constexpr std::string_view reason = "cancelled at a caller's request";
    start_ending(job, job_result::cancelled, reason, now);
    // The callers are told at once, and not after the last run has ended: until then their front
    // ends would submit the job again if they lost this host. A job that was ending for another
    // reason must not come back either.
    job.result = job_result::cancelled;
    job.reason = reason;
    answer(job, now);
    for (const auto& waiter : job.waiters) {
        waiters_.erase(waiter);
    }
    job.waiters.clear();
    finish_if_complete(job, now);
}

void job_scheduler::remove_waiter(job_record& job, const job_waiter& waiter,
                                  std::string_view reason, core::time_ms now) {
    waiters_.erase(waiter);
    std::erase(job.waiters, waiter);
    if (job.waiters.empty()) {
        start_ending(job, job_result::lost, reason, now);
    } else {
        // The waiter may have left without acting on grants sent to it, and their runs would never
        // end. All runs are stopped and start again through another waiter.
        stop_runs(job);
    }
}

void job_scheduler::on_run_ended(const run_ended& message, core::time_ms now) {
    const auto run = runs_.find(message.key);
    if (run == runs_.end()) {
        return;
    }
    auto& job = jobs_.at(run->second.job);
    auto& task = job.tasks.at(run->second.task);
    runs_.erase(run);
    ends_.ended(task.target, message.key);
    const auto& step = job.request.steps[task.step];
    pool_.release(task.target, step.resources);
    if (message.end == run_end::done) {
        statistics_.ended(now - task.granted_at, message.ran_for, step.estimated);
    }
    pool_.record_run_end(task.target, message.end, message.ran_for, step.estimated, now);
    if (message.end != run_end::done && message.end != run_end::stopped) {
        effects_.events.push_back({"run_without_success", job.request.id,
                                   std::string{to_string(message.end)} + " on target " +
                                       task.target + " of host " + task.holder + ": " +
                                       message.reason,
                                   now - job.arrived});
    }
    task.not_before = now + message.restart_delay;
    set_state(job, task,
              message.end == run_end::done ? detail::phase::done : detail::phase::pending);
    if (message.end == run_end::failed && ++task.failures >= job.request.terms.max_attempts) {
        start_ending(job, job_result::failed, "a task has used up its attempts", now);
    }
    queue_of(job).update(job, now);
    finish_if_complete(job, now);
}

void job_scheduler::set_state(job_record& job, task_record& task, task_record::phase state) {
    const auto work = work_of(job.request.steps[task.step]);
    if (task.state == detail::phase::pending) {
        --job.pending_tasks;
        job.pending_work -= work;
    }
    if (state == detail::phase::pending) {
        ++job.pending_tasks;
        job.pending_work += work;
    }
    task.state = state;
}

void job_scheduler::report(const std::string& holder, const target_report& report,
                           core::time_ms now) {
    pool_.report(holder, report, now);
}

void job_scheduler::host_unreachable(std::string_view host, core::time_ms now) {
    pool_.remove_holder(host);
    std::vector<std::string> ids;
    for (auto& [id, job] : jobs_) {
        ids.push_back(id);
        const auto waiters = job.waiters;
        for (const auto& waiter : waiters) {
            if (waiter.host == host) {
                remove_waiter(job, waiter, "the caller's entry host cannot be reached", now);
            }
        }
        bool lost_run = false;
        for (auto& task : job.tasks) {
            if (task.state == detail::phase::running && task.holder == host) {
                runs_.erase(task.key);
                ends_.ended(task.target, task.key);
                set_state(job, task, detail::phase::pending);
                lost_run = true;
            }
        }
        if (lost_run) {
            // The lease holder stops the run once it learns of the loss, and starts none of this
            // host's until the link is up again.
            start_ending(job, job_result::lost, "the host that held a target cannot be reached",
                         now);
        }
    }
    for (const auto& id : ids) {
        finish_if_complete(jobs_.at(id), now);
    }
}

void job_scheduler::host_reachable(std::string_view host) {
    effects_.messages.push_back({std::string{host}, revoke_runs{.last_key = last_key_}});
}

void job_scheduler::stop_runs(const job_record& job) {
    for (const auto& task : job.tasks) {
        if (task.state == detail::phase::running) {
            effects_.messages.push_back(
                {task.holder, stop_run{.key = task.key, .target = task.target}});
        }
    }
}

void job_scheduler::start_ending(job_record& job, job_result result, std::string_view reason,
                                 core::time_ms now) {
    if (job.ending) {
        return;
    }
    job.ending = true;
    job.result = result;
    job.reason = reason;
    queue_of(job).erase(job);
    stop_runs(job);
    effects_.events.push_back(
        {"job_ending", job.request.id, std::string{reason}, now - job.arrived});
}

void job_scheduler::finish_if_complete(job_record& job, core::time_ms now) {
    const bool all_done = std::ranges::all_of(
        job.tasks, [](const task_record& task) { return task.state == detail::phase::done; });
    if (!all_done && (!job.ending || detail::has_running(job))) {
        return;
    }
    if (all_done) {
        job.result = job_result::completed;
    }
    answer(job, now);
    effects_.events.push_back(
        {"job_ended", job.request.id, std::string{to_string(job.result)}, now - job.arrived});
    queue_of(job).erase(job);
    for (const auto& waiter : job.waiters) {
        waiters_.erase(waiter);
    }
    jobs_.erase(std::string{job.request.id});
}

void job_scheduler::answer(const job_record& job, core::time_ms now) {
    const bool is_refused = job.result == job_result::refused;
    const auto retry_after = is_refused ? retry_delay(job, now) : core::duration_ms{};
    for (const auto& waiter : job.waiters) {
        effects_.messages.push_back({waiter.host, job_ended{.number = waiter.number,
                                                            .result = job.result,
                                                            .retry_after = retry_after,
                                                            .reason = job.reason}});
    }
}

std::vector<status::job_row> job_scheduler::rows(core::time_ms now) const {
    std::vector<status::job_row> rows;
    for (const auto& [id, job] : jobs_) {
        auto& row = rows.emplace_back();
        row.id = id;
        row.service = job.request.terms.service;
        row.age = now - job.arrived;
        row.deadline = job.request.terms.deadline;
        row.ending = job.ending;
        for (const auto& task : job.tasks) {
            row.pending_tasks += task.state == detail::phase::pending ? 1 : 0;
            row.done_tasks += task.state == detail::phase::done ? 1 : 0;
            if (task.state == detail::phase::running) {
                ++row.running_tasks;
                row.running_on.push_back(task.target);
            }
        }
    }
    return rows;
}

} // namespace hawthornstall::runs
