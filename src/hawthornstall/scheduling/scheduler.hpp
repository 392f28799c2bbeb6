#pragma once

/// The scheduler of one service in one availability zone. It runs in the owner of that shard and is
/// used by the entry host's dispatcher (entry/service_scheduler.hpp). runs::job_scheduler is
/// separate and shares only target_health.

#include "hawthornstall/core/service_document.hpp"
#include "hawthornstall/scheduling/admission.hpp"
#include "hawthornstall/scheduling/attempt_table.hpp"
#include "hawthornstall/scheduling/decisions.hpp"
#include "hawthornstall/scheduling/job_queue.hpp"
#include "hawthornstall/scheduling/job_terms.hpp"
#include "hawthornstall/scheduling/placement.hpp"
#include "hawthornstall/scheduling/retry_budget.hpp"
#include "hawthornstall/scheduling/target_pool.hpp"

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <memory>
#include <numeric>
#include <string_view>
#include <utility>

namespace hawthornstall::scheduling {

/// Parameters that are not in the service document.
struct scheduler_tuning {
    ejection_rules ejection;
    std::uint32_t max_team_percent = 100; ///< Largest share of running or of queued tasks per team.
    double hedge_factor = 3.0; ///< An attempt is hedged after this many expected run times.
    /// How long a target that refused a task as busy gets no starts, unless one of its attempts
    /// ends earlier.
    core::duration_ms busy_pause{100};
    core::duration_ms journal_pause{50}; ///< How long nothing starts after a start record failed.
};

/// Decides when and where the tasks of one service start. It does no I/O and reads no clock: inputs
/// change its state, and decide() returns the resulting decisions. It is not thread-safe; its
/// dispatcher owns it.
///
/// The contract with the dispatcher:
/// - It reports jobs, targets, cancellations and the ends of attempts as they arrive, then calls
///   decide() once per iteration of its event loop, and again no later than `decisions::next_call`.
/// - For each start decision it writes a start record (single idempotent requests need none). The
///   capacity is reserved from the decision on. Once the record is acknowledged it sends the task
///   and calls sent(). If it cannot send the task, it calls not_sent(), which requeues the task and
///   frees the capacity.
/// - For each attempt that was sent, also for stopped ones, it calls finished() exactly once. A
///   repeated or late call for an attempt has no effect.
/// - For each stop decision it asks the target to stop the attempt, with one message per target. If
///   the attempt has not been sent yet, it calls not_sent() with `stopped` in place of sending it.
/// - For each end decision it answers the caller. Every submitted job gets exactly one. A
///   job ends as `answered` only when all its tasks have been answered.
template <queue_order Order, capacity_model Capacity, placement_policy Placement = wait_for_faster,
          admission_policy Admission = admit_feasible>
class scheduler {
public:
    explicit scheduler(const core::service_document& document, scheduler_tuning tuning = {},
                       Order order = {}, Placement placement = {}, Admission admission = {})
        : tuning_(tuning), retry_(document.retry), quota_(document.quota),
          budget_(document.retry.budget_percent), model_(document.task.expected_run_time),
          queue_(order), pool_(document.task, tuning.ejection), placement_(placement),
          admission_(admission) {}

    /// Applies the quotas, retry rules and expected run time of a new version of the document. A
    /// change of the queue order, capacity model or task shape needs a new scheduler.
    void apply(const core::service_document& document) {
        retry_ = document.retry;
        quota_ = document.quota;
        budget_.set_percent(document.retry.budget_percent);
        model_.set_default(document.task.expected_run_time);
    }

    /// Adds or updates a target. An unavailable one (leaving, or its lease has expired) gets no new
    /// work. The returned identifier is valid until the target has been removed and its last
    /// attempt has ended.
    target_id set_target(std::string_view name, const core::target_capacity& capacity,
                         bool available) {
        return pool_.upsert(name, capacity, available);
    }

    /// Removes a target. Its attempts stay in flight until the dispatcher reports their end.
    void remove_target(std::string_view name) { pool_.remove(name); }

    /// Updates the resource usage of a target.
    void report_usage(target_id target, const usage_report& usage) { pool_.report(target, usage); }

    [[nodiscard]] std::string_view target_name(target_id target) const {
        return pool_.name(target);
    }

    /// Queues a job, or refuses it with an end decision. `id` must not be in use.
    void submit(job_id id, const job_terms& terms, core::time_ms now);

    /// Ends a job on behalf of its caller. Costs O(1) per attempt in flight and nothing per pending
    /// task. An unknown job is ignored: it has ended already.
    void cancel(job_id id) {
        if (auto* job = find(id)) {
            end_unanswered(*job, end_reason::cancelled);
        }
    }

    /// Reports that the attempt was sent to its target at `now`.
    void sent(attempt_id id, core::time_ms now) {
        if (auto* attempt = attempts_.find(id)) {
            attempt->sent_at = now;
        }
    }

    /// Reports that the attempt was not sent and will not be. Its task is requeued if it is still
    /// wanted.
    void not_sent(attempt_id id, not_sent_cause cause, core::time_ms now);

    /// Reports how an attempt that was sent ended.
    void finished(attempt_id id, attempt_result result, core::time_ms now);

    /// Replaces the contents of `out` by all decisions that follow from the inputs so far.
    void decide(core::time_ms now, decisions& out) {
        expire_jobs(now);
        pool_.advance(now);
        queue_.set_team_limit(team_share(running_limit()));
        start_tasks(now);
        hedge_stragglers(now);
        out.clear();
        std::swap(out, decisions_);
        out.next_call = next_call(now);
    }

    [[nodiscard]] std::uint64_t queued_tasks() const { return queue_.pending(); }
    [[nodiscard]] std::size_t attempts_in_flight() const { return attempts_.size(); }
    [[nodiscard]] std::size_t open_jobs() const { return jobs_.size(); }
    /// Targets that are ejected, or not readmitted yet by a successful probe.
    [[nodiscard]] std::size_t ejected_targets() const { return pool_.excluded(); }

private:
    /// Time and sequence number of a job's timer. The sequence number makes the key unique.
    using job_timer = std::pair<core::time_ms, std::uint64_t>;

    [[nodiscard]] job_state* find(job_id id) {
        const auto found = jobs_.find(id);
        return found == jobs_.end() ? nullptr : found->second.get();
    }

    /// Most attempts of all teams that may run at once.
    [[nodiscard]] std::uint32_t running_limit() const {
        return static_cast<std::uint32_t>(
            std::min<std::uint64_t>(quota_.max_running_tasks, pool_.usable_slots()));
    }
    /// One team's share of `total`, at least one task; no limit if a team may use everything.
    [[nodiscard]] std::uint32_t team_share(std::uint32_t total) const {
        return tuning_.max_team_percent >= 100
                   ? UINT32_MAX
                   : std::max<std::uint32_t>(1,
                                             std::uint64_t{total} * tuning_.max_team_percent / 100);
    }

    struct refusal {
        end_reason reason = end_reason::none;
        core::duration_ms retry_after{};
    };

    /// Returns why a new job is refused; empty if it is admitted.
    [[nodiscard]] std::optional<refusal> check_admission(const job_state& job,
                                                         core::time_ms now) const;
    /// Expected time until the tasks that are pending now have been worked off.
    [[nodiscard]] core::duration_ms expected_drain_time() const;
    /// Expected run time of all tasks of the job at speed 1.
    [[nodiscard]] double expected_work_ms(const job_state& job) const;
    /// Longest expected run time, on a slot of average speed, of the job's tasks of learned
    /// classes; 0 if no class is learned.
    [[nodiscard]] double longest_learned_task_ms(const job_state& job) const;
    /// Whether another attempt of the task is permitted although an earlier one may have run. Used
    /// for retries, hedges and probes.
    [[nodiscard]] bool may_retry(const job_state& job, std::uint32_t task) const {
        return job.idempotent && (job.single_request || retry_.retry_failed_starts) &&
               job.attempts[task] < retry_.max_attempts;
    }

    void set_timer(job_state& job, core::time_ms due) {
        timers_.erase({job.timer_due, job.sequence});
        job.timer_due = due;
        timers_.emplace(job_timer{due, job.sequence}, &job);
    }

    /// Orders the job by arrival only from now on.
    void make_urgent(job_state& job) {
        if (!job.urgent) {
            job.urgent = true;
            queue_.update(job);
        }
    }

    /// Removes an attempt that has ended and frees its capacity.
    void release_attempt(attempt_id id, attempt_state& attempt);
    /// Handles the result of the last open attempt of a task: counts the answer, requeues the task,
    /// or ends the job.
    void handle_result(job_state& job, std::uint32_t task, attempt_result result, target_id target);
    /// Ends a job without an answer; the outcome follows from its attempts so far.
    void end_unanswered(job_state& job, end_reason reason, core::duration_ms retry_after = {});
    /// Stops all attempts of the job, adds the end decision and deletes the job.
    void end_job(job_state& job, const end_decision& end);
    /// Adds a stop decision; the result of the attempt is no longer wanted.
    void stop(attempt_id id, attempt_state& attempt);
    /// Handles the job timers that are due: refuses or ends the job, or makes it urgent.
    void expire_jobs(core::time_ms now);
    void start_tasks(core::time_ms now);
    /// Target for the next task of `job`; empty if none is free or a faster one is worth the wait.
    [[nodiscard]] std::optional<target_id> choose_target(const job_state& job, double work_ahead_ms,
                                                         core::time_ms now);
    void start_next_task_on(job_state& job, target_id target, core::time_ms now);
    /// Reserves capacity on `target` and adds a start decision.
    attempt_id start(job_state& job, std::uint32_t task, target_id target, core::time_ms now,
                     bool is_hedge);
    /// Starts second attempts of the attempts whose hedge time has come, if no task is pending,
    /// starts are not paused, `max_running_tasks` is not reached, another target is free and the
    /// retry budget allows it.
    void hedge_stragglers(core::time_ms now);
    /// Earliest time at which decide() may have something to do without further input.
    [[nodiscard]] std::optional<core::time_ms> next_call(core::time_ms now) const;

    scheduler_tuning tuning_;
    core::retry_rules retry_;
    core::quota_rules quota_;
    retry_budget budget_;
    run_time_model model_;
    job_queue<Order> queue_;
    target_pool<Capacity> pool_;
    Placement placement_;
    Admission admission_;
    attempt_table attempts_;
    std::unordered_map<job_id, std::unique_ptr<job_state>> jobs_;
    std::map<job_timer, job_state*> timers_;
    std::set<std::pair<core::time_ms, attempt_id>> hedge_timers_; ///< By `hedge_at`.
    std::uint64_t next_sequence_ = 0;
    core::time_ms starts_paused_until_{core::duration_ms::min()};
    std::optional<core::time_ms> waiting_for_faster_since_; ///< Empty if the queue does not wait.
    decisions decisions_;                                   ///< Made since the last decide().
};

} // namespace hawthornstall::scheduling

#include "hawthornstall/scheduling/scheduler_impl.hpp"
