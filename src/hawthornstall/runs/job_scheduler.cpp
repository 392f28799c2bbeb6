#include "hawthornstall/runs/job_scheduler.hpp"

#include <algorithm>
#include <tuple>
#include <utility>

namespace hawthornstall::runs {
namespace detail {

/// Share of the room of the targets that tasks can fill: what is left on a target between tasks is
/// too small for another one.
constexpr double fillable_share = 0.8;

/// Shortest time after which a refused job may return.
constexpr core::duration_ms shortest_retry{1'000};

using phase = task_record::phase;

bool has_running(const job_record& job) {
    return std::ranges::any_of(
        job.tasks, [](const task_record& task) { return task.state == phase::running; });
}

std::int64_t pending_work(const job_record& job) {
    std::int64_t work = 0;
    for (const auto& task : job.tasks) {
        if (task.state == phase::pending) {
            const auto& step = job.request.steps[task.step];
            work += step.room.cpu_millis * step.estimated.count();
        }
    }
    return work;
}

} // namespace detail

void job_scheduler::submit(const std::string& host, const submit_job& message, core::time_ms now) {
    const job_waiter waiter{host, message.number};
    const auto found = jobs_.find(message.job.id);
    if (found != jobs_.end()) {
        // Submitted again while the first submission is under way: both get its answer.
        found->second.waiters.push_back(waiter);
        return;
    }
    auto& job = jobs_[message.job.id];
    job = make_job_record(message.job, now);
    job.waiters.push_back(waiter);
    const auto wait = expected_wait(job);
    if (now + wait + longest_chain(job.request) > job.useful_until) {
        start_ending(job, job_result::refused, "the queue is longer than the deadline", now);
    }
    if (job.ending || refuse_hopeless(job, now)) {
        finish_if_over(job, now);
    }
}

bool job_scheduler::refuse_hopeless(job_record& job, core::time_ms now) {
    if (job.started || job.ending) {
        return false;
    }
    const auto& steps = job.request.steps;
    const bool fits = std::ranges::all_of(steps, [&](const job_step& step) {
        return pool_.could_hold(job.request.terms.service, step);
    });
    if (!fits) {
        start_ending(job, job_result::refused, "no known target can hold a task of the job", now);
        return true;
    }
    if (now + longest_chain(job.request) > job.useful_until) {
        start_ending(job, job_result::refused, "the deadline would pass before the end", now);
        return true;
    }
    return false;
}

core::duration_ms job_scheduler::expected_wait(const job_record& job) const {
    std::int64_t work = 0;
    for (const auto& [id, other] : jobs_) {
        if (&other != &job && !other.ending && other.due <= job.due) {
            work += detail::pending_work(other);
        }
    }
    const auto room = static_cast<double>(pool_.usable_cpu_millis(job.request.terms.service)) *
                      detail::fillable_share;
    return room < 1.0 ? job.request.terms.deadline
                      : core::duration_ms{
                            static_cast<core::duration_ms::rep>(static_cast<double>(work) / room)};
}

void job_scheduler::cancel(const std::string& host, const cancel_job& message, core::time_ms now) {
    for (auto& [id, job] : jobs_) {
        if (std::erase(job.waiters, job_waiter{host, message.number}) > 0 && job.waiters.empty()) {
            start_ending(job, job_result::lost, "the caller has left", now);
            finish_if_over(job, now);
            return;
        }
    }
}

void job_scheduler::run_over(const run_ended& message, core::time_ms now) {
    const auto order = orders_.find(message.key);
    if (order == orders_.end()) {
        return;
    }
    auto& job = jobs_.at(order->second.job);
    auto& task = job.tasks.at(order->second.task);
    orders_.erase(order);
    const auto& step = job.request.steps[task.step];
    pool_.release(task.target, step.room);
    pool_.learn(task.target, message.end, message.ran_for, step.estimated, now);
    task.not_before = now + message.settled_in;
    task.state = message.end == run_end::done ? detail::phase::done : detail::phase::pending;
    if (message.end == run_end::failed && ++task.failures >= job.request.terms.max_attempts) {
        start_ending(job, job_result::failed, "a task has used up its attempts", now);
    }
    finish_if_over(job, now);
}

void job_scheduler::report(const std::string& holder, const target_report& report,
                           core::time_ms now) {
    pool_.report(holder, report, now);
}

void job_scheduler::host_unreachable(std::string_view host, core::time_ms now) {
    pool_.drop_holder(host);
    std::vector<std::string> over;
    for (auto& [id, job] : jobs_) {
        remove_waiters(job, host, now);
        bool lost_run = false;
        for (auto& task : job.tasks) {
            if (task.state == detail::phase::running && task.holder == host) {
                orders_.erase(task.key);
                task.state = detail::phase::pending;
                lost_run = true;
            }
        }
        if (lost_run) {
            // The holder stops the run as soon as it notices, which is before the caller returns.
            start_ending(job, job_result::lost, "the host that held a target cannot be reached",
                         now);
        }
        over.push_back(id);
    }
    for (const auto& id : over) {
        finish_if_over(jobs_.at(id), now);
    }
}

void job_scheduler::remove_waiters(job_record& job, std::string_view host, core::time_ms now) {
    const auto removed =
        std::erase_if(job.waiters, [&](const job_waiter& waiter) { return waiter.host == host; });
    if (removed > 0 && job.waiters.empty()) {
        start_ending(job, job_result::lost, "the caller's entry host cannot be reached", now);
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
    for (const auto& task : job.tasks) {
        if (task.state == detail::phase::running) {
            effects_.messages.push_back(
                {task.holder, stop_run{.key = task.key, .target = task.target}});
        }
    }
    effects_.events.push_back(
        {"job_ending", job.request.id, std::string{reason}, now - job.arrived});
}

void job_scheduler::finish_if_over(job_record& job, core::time_ms now) {
    const bool all_done = std::ranges::all_of(
        job.tasks, [](const task_record& task) { return task.state == detail::phase::done; });
    if (!all_done && (!job.ending || detail::has_running(job))) {
        return;
    }
    if (all_done) {
        job.result = job_result::completed;
    }
    answer(job, job.result == job_result::refused ? detail::shortest_retry : core::duration_ms{},
           now);
    jobs_.erase(std::string{job.request.id});
}

void job_scheduler::answer(const job_record& job, core::duration_ms retry_after,
                           core::time_ms now) {
    for (const auto& waiter : job.waiters) {
        effects_.messages.push_back({waiter.host, job_ended{.number = waiter.number,
                                                            .result = job.result,
                                                            .retry_after = retry_after,
                                                            .reason = job.reason}});
    }
    effects_.events.push_back(
        {"job_ended", job.request.id, std::string{to_string(job.result)}, now - job.arrived});
}

/// Jobs that have begun come first, then those that can still meet their objective, by objective.
std::vector<job_record*> job_scheduler::ordered_jobs(core::time_ms now) {
    using rank = std::tuple<bool, bool, core::time_ms>;
    std::vector<std::pair<rank, job_record*>> ranked;
    for (auto& [id, job] : jobs_) {
        const bool has_pending = std::ranges::any_of(job.tasks, [](const task_record& task) {
            return task.state == detail::phase::pending;
        });
        if (!job.ending && has_pending) {
            const bool is_late = now + longest_chain(job.request) > job.due;
            ranked.push_back({rank{!job.started, is_late, job.due}, &job});
        }
    }
    std::ranges::stable_sort(ranked, {}, &std::pair<rank, job_record*>::first);
    std::vector<job_record*> ordered;
    for (const auto& [key, job] : ranked) {
        ordered.push_back(job);
    }
    return ordered;
}

void job_scheduler::place(core::time_ms now) {
    std::vector<std::string> over;
    for (auto* const job : ordered_jobs(now)) {
        if (refuse_hopeless(*job, now)) {
            over.push_back(job->request.id);
            continue;
        }
        for (std::size_t index = 0; index < job->tasks.size(); ++index) {
            const auto& task = job->tasks[index];
            if (task.state == detail::phase::pending && task.not_before <= now &&
                is_ready(*job, task.step) && !place_task(*job, index, now)) {
                break;
            }
        }
    }
    for (const auto& id : over) {
        finish_if_over(jobs_.at(id), now);
    }
}

std::vector<std::string> job_scheduler::crowded_targets(const job_record& job,
                                                        const task_record& task) const {
    std::vector<std::string> crowded;
    const auto limit = job.request.steps[task.step].max_per_target;
    if (limit == 0) {
        return crowded;
    }
    std::map<std::string, std::uint32_t> count;
    for (const auto& other : job.tasks) {
        if (other.step == task.step && other.state == detail::phase::running &&
            ++count[other.target] >= limit) {
            crowded.push_back(other.target);
        }
    }
    return crowded;
}

bool job_scheduler::place_task(job_record& job, std::size_t index, core::time_ms now) {
    auto& task = job.tasks[index];
    const auto& step = job.request.steps[task.step];
    const auto crowded = crowded_targets(job, task);
    auto place = pool_.pick({.service = job.request.terms.service,
                             .step = &step,
                             .crowded = crowded,
                             .avoid = task.target},
                            now);
    if (!place) {
        return false;
    }
    pool_.reserve(place->target, step.room);
    task.state = detail::phase::running;
    task.key = ++last_key_;
    task.target = std::move(place->target);
    task.holder = std::move(place->holder);
    ++task.last_run;
    job.started = true;
    orders_[task.key] = {.job = job.request.id, .task = index};
    effects_.messages.push_back(
        {task.holder, start_run{.key = task.key,
                                .target = task.target,
                                .run = {.task = {job.request.id, task.step, task.index},
                                        .number = task.last_run},
                                .specification = job.request.specification,
                                .room = step.room}});
    return true;
}

std::size_t job_scheduler::waiting() const {
    return static_cast<std::size_t>(
        std::ranges::count_if(jobs_, [](const auto& item) { return !item.second.started; }));
}

} // namespace hawthornstall::runs
