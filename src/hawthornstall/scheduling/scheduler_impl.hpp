#pragma once

/// Member functions of scheduler; included by scheduler.hpp only.

#include "hawthornstall/scheduling/scheduler.hpp"

namespace hawthornstall::scheduling {

template <queue_order Order, capacity_model Capacity, placement_policy Placement,
          admission_policy Admission>
void scheduler<Order, Capacity, Placement, Admission>::submit(job_id id, const job_terms& terms,
                                                              core::time_ms now) {
    auto owned = std::make_unique<job_state>();
    auto& job = *owned;
    job.id = id;
    job.team = queue_.intern_team(terms.team);
    job.idempotent = terms.idempotent;
    job.single_request = terms.single_request;
    job.arrival = now;
    job.deadline = terms.deadline;
    job.sequence = next_sequence_++;
    for (const auto declared : terms.declared_run_times) {
        job.declared_ms.push_back(
            static_cast<std::uint32_t>(std::clamp<std::int64_t>(declared.count(), 0, UINT32_MAX)));
    }
    job.attempts.resize(job.declared_ms.size());
    job.longest_first.resize(job.declared_ms.size());
    job.queued_end = job.task_count();
    std::iota(job.longest_first.begin(), job.longest_first.end(), 0U);
    // The longest tasks start first, so that they get the fastest free targets.
    std::stable_sort(
        job.longest_first.begin(), job.longest_first.end(),
        [&job](auto left, auto right) { return job.declared_ms[left] > job.declared_ms[right]; });
    const double job_work_ms = expected_work_ms(job);
    job.task_work_ms = std::max<std::int64_t>(
        1, std::llround(job_work_ms / std::max<double>(1.0, job.task_count())));
    if (const auto refused = check_admission(job, now)) {
        decisions_.ends.push_back(
            {id, core::outcome_class::refused_not_run, refused->reason, refused->retry_after});
        return;
    }
    if (job.task_count() == 0) {
        decisions_.ends.push_back({id, core::outcome_class::answered, end_reason::none, {}});
        return;
    }
    // Once its longest task cannot end before the deadline any more, a job that has not started is
    // refused, so that the refusal reaches the caller before the deadline.
    const auto run_time =
        core::duration_ms{static_cast<std::int64_t>(longest_learned_task_ms(job))};
    const auto margin = std::clamp(run_time, core::duration_ms{1},
                                   std::max(core::duration_ms{1}, (job.deadline - now) / 2));
    job.refuse_at = job.deadline - margin;
    job.timer_due = job.urgent_at();
    timers_.emplace(job_timer{job.timer_due, job.sequence}, &job);
    queue_.update(job);
    jobs_.emplace(id, std::move(owned));
}

template <queue_order Order, capacity_model Capacity, placement_policy Placement,
          admission_policy Admission>
auto scheduler<Order, Capacity, Placement, Admission>::check_admission(const job_state& job,
                                                                       core::time_ms now) const
    -> std::optional<refusal> {
    const std::uint64_t tasks = job.task_count();
    const std::uint64_t queue_limit = quota_.max_queued_tasks;
    const std::uint64_t team_limit = team_share(quota_.max_queued_tasks);
    if (pool_.known() > 0 && !pool_.any_large_enough()) {
        return refusal{end_reason::no_target_large_enough, {}};
    }
    if (job.deadline <= now) {
        return refusal{end_reason::deadline, {}};
    }
    if (queue_.pending() + tasks > queue_limit ||
        queue_.pending_of(job.team) + tasks > team_limit) {
        // A job larger than the quota never fits, so it gets no retry hint.
        const bool never_fits = tasks > std::min(queue_limit, team_limit);
        return refusal{end_reason::queue_quota,
                       never_fits ? core::duration_ms{} : expected_drain_time()};
    }
    const job_ranking ranking{job.arrival, job.task_count(), false};
    const admission_request request{
        .time_left = job.deadline - now,
        .work_ahead_ms = static_cast<double>(queue_.work_ahead_ms(job.team, ranking)),
        .job_work_ms = static_cast<double>(job.task_work_ms * job.task_count()),
        .overtaking_window_ms = static_cast<double>(queue_.overtaking_window_ms(ranking)),
        .total_speed = pool_.usable_speed(),
        .longest_task_ms = longest_learned_task_ms(job),
    };
    if (const auto retry_after = admission_.retry_after_if_refused(request)) {
        return refusal{end_reason::expected_wait, *retry_after};
    }
    return std::nullopt;
}

template <queue_order Order, capacity_model Capacity, placement_policy Placement,
          admission_policy Admission>
core::duration_ms scheduler<Order, Capacity, Placement, Admission>::expected_drain_time() const {
    if (pool_.usable_speed() <= 0.0) {
        // No target is in service; one may be after the next lease renewal (1 s).
        return core::duration_ms{1000};
    }
    const double ms = static_cast<double>(queue_.pending_work_ms()) / pool_.usable_speed();
    return core::duration_ms{static_cast<std::int64_t>(ms) + 1};
}

template <queue_order Order, capacity_model Capacity, placement_policy Placement,
          admission_policy Admission>
double
scheduler<Order, Capacity, Placement, Admission>::expected_work_ms(const job_state& job) const {
    double sum = 0.0;
    for (std::uint32_t task = 0; task < job.task_count(); ++task) {
        sum += model_.learned_or_mean_ms(job.team, job.declared(task));
    }
    return sum;
}

template <queue_order Order, capacity_model Capacity, placement_policy Placement,
          admission_policy Admission>
double scheduler<Order, Capacity, Placement, Admission>::longest_learned_task_ms(
    const job_state& job) const {
    const double speed = pool_.usable_slots() == 0
                             ? 1.0
                             : pool_.usable_speed() / static_cast<double>(pool_.usable_slots());
    double longest = 0.0;
    for (std::uint32_t task = 0; task < job.task_count(); ++task) {
        if (model_.is_learned(job.team, job.declared(task))) {
            longest = std::max(longest, model_.expected_ms(job.team, job.declared(task)) / speed);
        }
    }
    return longest;
}

template <queue_order Order, capacity_model Capacity, placement_policy Placement,
          admission_policy Admission>
void scheduler<Order, Capacity, Placement, Admission>::release_attempt(attempt_id id,
                                                                       attempt_state& attempt) {
    const auto target = attempt.target;
    if (attempt.hedge_at) {
        hedge_timers_.erase({*attempt.hedge_at, id});
    }
    if (attempt.other_attempt) {
        if (auto* other_attempt = attempts_.find(*attempt.other_attempt)) {
            other_attempt->other_attempt.reset();
        }
    }
    queue_.end_attempt(attempt.team);
    attempts_.erase(id);
    pool_.end_attempt(target);
}

template <queue_order Order, capacity_model Capacity, placement_policy Placement,
          admission_policy Admission>
void scheduler<Order, Capacity, Placement, Admission>::not_sent(attempt_id id, not_sent_cause cause,
                                                                core::time_ms now) {
    auto* attempt = attempts_.find(id);
    if (attempt == nullptr) {
        return;
    }
    if (cause == not_sent_cause::target_unreachable) {
        pool_.on_failure(attempt->target, now);
    } else if (cause == not_sent_cause::journal_failed) {
        starts_paused_until_ = now + tuning_.journal_pause;
    }
    auto* job = attempt->job;
    const bool is_only_attempt = !attempt->other_attempt;
    const pending_task task{attempt->task, cause == not_sent_cause::target_unreachable
                                               ? std::optional{attempt->target}
                                               : std::nullopt};
    release_attempt(id, *attempt);
    if (job != nullptr && is_only_attempt) {
        job->requeued.push_back(task);
        queue_.update(*job);
    }
}

template <queue_order Order, capacity_model Capacity, placement_policy Placement,
          admission_policy Admission>
void scheduler<Order, Capacity, Placement, Admission>::finished(attempt_id id,
                                                                attempt_result result,
                                                                core::time_ms now) {
    auto* found = attempts_.find(id);
    if (found == nullptr) {
        return;
    }
    const attempt_state attempt = *found;
    switch (result) {
    case attempt_result::answered:
        budget_.on_success();
        model_.observe(attempt.team, attempt.declared, now - attempt.sent_at,
                       pool_.speed(attempt.target));
        pool_.on_success(attempt.target);
        break;
    case attempt_result::not_run:
        break;
    case attempt_result::failed:
    case attempt_result::lost:
        // A stopped attempt also ends without an answer, which is no failure of the target.
        if (attempt.job != nullptr) {
            pool_.on_failure(attempt.target, now);
        }
        break;
    }
    auto* other_attempt = attempt.other_attempt ? attempts_.find(*attempt.other_attempt) : nullptr;
    release_attempt(id, *found);
    if (attempt.job == nullptr) {
        return;
    }
    if (result == attempt_result::not_run) {
        // Must come after release_attempt(): the pause ends when fewer attempts are in flight than
        // when it began.
        pool_.pause(attempt.target, now + tuning_.busy_pause);
    }
    attempt.job->ran = attempt.job->ran || result != attempt_result::not_run;
    if (other_attempt != nullptr && other_attempt->job != nullptr) {
        if (result != attempt_result::answered) {
            return; // The result of the other attempt counts.
        }
        stop(*attempt.other_attempt, *other_attempt);
    }
    handle_result(*attempt.job, attempt.task, result, attempt.target);
}

template <queue_order Order, capacity_model Capacity, placement_policy Placement,
          admission_policy Admission>
void scheduler<Order, Capacity, Placement, Admission>::handle_result(job_state& job,
                                                                     std::uint32_t task,
                                                                     attempt_result result,
                                                                     target_id target) {
    if (result == attempt_result::answered) {
        if (++job.answered_tasks == job.task_count()) {
            end_job(job, {job.id, core::outcome_class::answered, end_reason::none, {}});
        } else if (job.queue_key) {
            queue_.update(job);
        }
        return;
    }
    const bool retryable =
        result == attempt_result::not_run ||
        (may_retry(job, task) && (result == attempt_result::failed || job.single_request));
    if (retryable && budget_.try_spend()) {
        job.requeued.push_back({task, target});
        queue_.update(job);
        return;
    }
    if (result == attempt_result::lost) {
        job.lost = true;
        end_unanswered(job, end_reason::attempt_lost);
        return;
    }
    end_unanswered(job, retryable ? end_reason::retry_budget : end_reason::task_failed,
                   retryable ? expected_drain_time() : core::duration_ms{});
}

template <queue_order Order, capacity_model Capacity, placement_policy Placement,
          admission_policy Admission>
void scheduler<Order, Capacity, Placement, Admission>::end_unanswered(
    job_state& job, end_reason reason, core::duration_ms retry_after) {
    const bool in_flight = job.first_attempt.has_value();
    const bool definite_failure =
        reason == end_reason::task_failed || reason == end_reason::retry_budget;
    // While attempts are in flight, their tasks may have run. That does not matter if another task
    // ran and failed: the job has then failed for certain.
    auto outcome = core::outcome_class::refused_not_run;
    if (job.lost || (in_flight && !(definite_failure && job.ran))) {
        outcome = core::outcome_class::may_have_run;
    } else if (job.ran) {
        outcome = core::outcome_class::failed;
    }
    end_job(job, {job.id, outcome, reason, retry_after});
}

template <queue_order Order, capacity_model Capacity, placement_policy Placement,
          admission_policy Admission>
void scheduler<Order, Capacity, Placement, Admission>::end_job(job_state& job,
                                                               const end_decision& end) {
    while (job.first_attempt) {
        const auto id = attempts_.id_at(*job.first_attempt);
        stop(id, *attempts_.find(id));
    }
    queue_.remove(job);
    timers_.erase({job.timer_due, job.sequence});
    decisions_.ends.push_back(end);
    jobs_.erase(end.job);
}

template <queue_order Order, capacity_model Capacity, placement_policy Placement,
          admission_policy Admission>
void scheduler<Order, Capacity, Placement, Admission>::stop(attempt_id id, attempt_state& attempt) {
    if (attempt.hedge_at) {
        hedge_timers_.erase({*attempt.hedge_at, id});
        attempt.hedge_at.reset();
    }
    attempts_.detach(id);
    decisions_.stops.push_back({id, attempt.target});
}

template <queue_order Order, capacity_model Capacity, placement_policy Placement,
          admission_policy Admission>
void scheduler<Order, Capacity, Placement, Admission>::expire_jobs(core::time_ms now) {
    while (!timers_.empty() && timers_.begin()->first.first <= now) {
        auto& job = *timers_.begin()->second;
        if (now >= job.deadline || (!job.has_started() && now >= job.refuse_at)) {
            end_unanswered(job, end_reason::deadline, expected_drain_time());
        } else if (job.has_started()) {
            make_urgent(job);
            set_timer(job, job.deadline);
        } else {
            set_timer(job, job.refuse_at);
        }
    }
}

template <queue_order Order, capacity_model Capacity, placement_policy Placement,
          admission_policy Admission>
std::optional<target_id> scheduler<Order, Capacity, Placement, Admission>::choose_target(
    const job_state& job, double work_ahead_ms, core::time_ms now) {
    const auto task = job.front();
    if (const auto probe = pool_.take_probe(may_retry(job, task.task), now)) {
        return probe;
    }
    const placement_choice choice{
        .expected_ms = model_.expected_ms(job.team, job.declared(task.task)),
        .work_ahead_ms = work_ahead_ms,
        .waited_for_faster_ms =
            waiting_for_faster_since_
                ? static_cast<double>((now - *waiting_for_faster_since_).count())
                : 0.0,
    };
    return pool_.pick(placement_, choice, task.avoid);
}

template <queue_order Order, capacity_model Capacity, placement_policy Placement,
          admission_policy Admission>
void scheduler<Order, Capacity, Placement, Admission>::start_tasks(core::time_ms now) {
    if (now < starts_paused_until_) {
        return;
    }
    while (attempts_.size() < quota_.max_running_tasks) {
        auto* job = queue_.front();
        if (job == nullptr) {
            waiting_for_faster_since_.reset();
            return;
        }
        auto target = choose_target(*job, 0.0, now);
        if (target || !pool_.any_free()) {
            waiting_for_faster_since_.reset();
        } else {
            // The first job waits for a faster target. The last job would wait for the whole queue,
            // so a slow target may still end its task earlier.
            waiting_for_faster_since_ = waiting_for_faster_since_.value_or(now);
            job = queue_.back();
            target = choose_target(*job, static_cast<double>(queue_.pending_work_ms()), now);
        }
        if (!target) {
            return;
        }
        start_next_task_on(*job, *target, now);
    }
}

template <queue_order Order, capacity_model Capacity, placement_policy Placement,
          admission_policy Admission>
void scheduler<Order, Capacity, Placement, Admission>::start_next_task_on(job_state& job,
                                                                          target_id target,
                                                                          core::time_ms now) {
    // A target slower than the average gets the shortest task of the job. The long tasks determine
    // when the job ends, so they are left to fast targets.
    const bool slow = pool_.speed(target).value() * static_cast<double>(pool_.usable_slots()) <
                      pool_.usable_speed();
    const auto expected = model_.expected_ms(job.team, job.declared(job.front(slow).task));
    const auto task = queue_.take_task(job, expected, slow);
    start(job, task.task, target, now, false);
    if (now >= job.urgent_at()) {
        make_urgent(job);
    }
}

template <queue_order Order, capacity_model Capacity, placement_policy Placement,
          admission_policy Admission>
attempt_id scheduler<Order, Capacity, Placement, Admission>::start(
    job_state& job, std::uint32_t task, target_id target, core::time_ms now, bool is_hedge) {
    attempt_state attempt;
    attempt.job = &job;
    attempt.team = job.team;
    attempt.task = task;
    attempt.declared = job.declared(task);
    attempt.target = target;
    attempt.sent_at = now;
    const auto number = ++job.attempts[task];
    if (retry_.hedge && !is_hedge && may_retry(job, task)) {
        const double expected =
            model_.expected_ms(job.team, attempt.declared) / pool_.speed(target).value();
        attempt.hedge_at =
            now + core::duration_ms{static_cast<std::int64_t>(expected * tuning_.hedge_factor) + 1};
    }
    const auto id = attempts_.add(attempt);
    if (attempt.hedge_at) {
        hedge_timers_.insert({*attempt.hedge_at, id});
    }
    pool_.begin_attempt(target);
    decisions_.starts.push_back({id, job.id, task, number, target});
    return id;
}

template <queue_order Order, capacity_model Capacity, placement_policy Placement,
          admission_policy Admission>
void scheduler<Order, Capacity, Placement, Admission>::hedge_stragglers(core::time_ms now) {
    while (!hedge_timers_.empty() && hedge_timers_.begin()->first <= now) {
        const auto id = hedge_timers_.begin()->second;
        hedge_timers_.erase(hedge_timers_.begin());
        auto& attempt = *attempts_.find(id);
        attempt.hedge_at.reset();
        // Pending tasks take precedence over hedges.
        if (queue_.pending() > 0 || now < starts_paused_until_ ||
            attempts_.size() >= quota_.max_running_tasks) {
            continue;
        }
        const auto slow = attempt.target;
        const auto target = pool_.pick(fastest_free{}, {}, slow);
        if (!target || *target == slow || !budget_.try_spend()) {
            continue;
        }
        queue_.begin_attempt(attempt.team);
        const auto hedge = start(*attempt.job, attempt.task, *target, now, true);
        // start() may have reallocated the attempt table, so `attempt` is no longer valid.
        attempts_.find(id)->other_attempt = hedge;
        attempts_.find(hedge)->other_attempt = id;
    }
}

template <queue_order Order, capacity_model Capacity, placement_policy Placement,
          admission_policy Admission>
std::optional<core::time_ms>
scheduler<Order, Capacity, Placement, Admission>::next_call(core::time_ms now) const {
    std::optional<core::time_ms> next = pool_.next_event();
    const auto consider = [&next](core::time_ms time) {
        next = next ? std::min(*next, time) : time;
    };
    if (!timers_.empty()) {
        consider(timers_.begin()->first.first);
    }
    if (!hedge_timers_.empty()) {
        consider(hedge_timers_.begin()->first);
    }
    if (queue_.pending() > 0 && now < starts_paused_until_) {
        consider(starts_paused_until_);
    }
    if (waiting_for_faster_since_) {
        // Check again whether it pays to wait for a faster target. Half a mean run time is short
        // compared with the wait that the placement policy accepts.
        consider(now + core::duration_ms{std::max<std::int64_t>(
                           1, static_cast<std::int64_t>(model_.mean_ms() / 2))});
    }
    return next;
}

} // namespace hawthornstall::scheduling
