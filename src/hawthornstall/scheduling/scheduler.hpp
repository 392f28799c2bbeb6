#pragma once

/// The decision code of the owner of one (service, availability zone).

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

/// Settings that are not in the service document.
struct scheduler_tuning {
    ejection_rules ejection;
    std::uint32_t max_team_percent = 100; ///< Share of one team in the running and queued tasks.
    double hedge_factor = 3.0;            ///< Hedge after this many expected run times.
    core::duration_ms busy_pause{100};    ///< Rest of a target that refused a task as busy.
    core::duration_ms journal_pause{50};  ///< Rest of all starts after a failed start record.
};

/// Decides when and where the tasks of one service start. It is pure: inputs change its state, and
/// decide() returns what follows from them. It is not thread-safe; its dispatcher owns it.
///
/// A dispatcher drives it like this:
/// - It hands in jobs, targets, cancellations and the ends of attempts as they arrive, then calls
///   decide() once per turn of its loop, and again no later than `decisions::next_call`.
/// - For each start decision it writes a start record (single idempotent requests need none). The
///   capacity is reserved from the decision on. Once the record is acknowledged it sends the task
///   and calls sent(); when it cannot send, it calls not_sent(), which returns the task to the
///   queue and frees the capacity.
/// - For each attempt that was sent it calls finished() exactly once, also for stopped ones. A
///   second or late call for an attempt has no effect.
/// - For each stop decision it asks the target to stop, one message per target, or skips the
///   sending and calls not_sent() with `stopped`.
/// - For each end decision it answers the caller. Every submitted job gets exactly one. All task
///   results of a job are present once it ends as `answered`.
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

    /// Takes the quotas, retry rules and expected run time of a new version of the document. A
    /// change of order, capacity model or task shape needs a new scheduler.
    void apply(const core::service_document& document) {
        retry_ = document.retry;
        quota_ = document.quota;
        budget_.set_percent(document.retry.budget_percent);
        model_.set_default(document.task.expected_run_time);
    }

    /// Adds a known target or takes its new state; an unavailable one (leaving, lease expired) gets
    /// no new work. The number is valid until the target is removed and its last attempt has ended.
    target_id set_target(std::string_view name, const core::target_capacity& capacity,
                         bool available) {
        return pool_.upsert(name, capacity, available);
    }

    /// Forgets a target. Its attempts stay open until the dispatcher reports their end.
    void remove_target(std::string_view name) { pool_.remove(name); }

    /// Takes a usage report of a known target.
    void report_usage(target_id target, const usage_report& usage) { pool_.report(target, usage); }

    [[nodiscard]] std::string_view target_name(target_id target) const {
        return pool_.name(target);
    }

    /// Takes a job, or ends it at once as refused. `id` must not be in use.
    void submit(job_id id, const job_terms& terms, core::time_ms now);

    /// Ends a job on behalf of its caller. Costs O(1) per task in flight and nothing per queued
    /// task. An unknown job is ignored: it has ended already.
    void cancel(job_id id) {
        if (auto* job = find(id)) {
            end_unanswered(*job, end_reason::cancelled);
        }
    }

    /// The attempt was sent to its target at `now`.
    void sent(attempt_id id, core::time_ms now) {
        if (auto* attempt = attempts_.find(id)) {
            attempt->sent_at = now;
        }
    }

    /// The attempt was not sent and will not be.
    void not_sent(attempt_id id, not_sent_cause cause, core::time_ms now);

    /// The attempt ended.
    void finished(attempt_id id, attempt_result result, core::time_ms now);

    /// Moves all decisions that follow from the inputs so far into `out`.
    void decide(core::time_ms now, decisions& out) {
        expire_jobs(now);
        pool_.advance(now);
        queue_.set_team_limit(team_share(running_limit()));
        start_tasks(now);
        hedge_stragglers(now);
        out.clear();
        std::swap(out, pending_);
        out.next_call = next_call(now);
    }

    [[nodiscard]] std::uint64_t queued_tasks() const { return queue_.pending(); }
    [[nodiscard]] std::size_t attempts_in_flight() const { return attempts_.size(); }
    [[nodiscard]] std::size_t known_jobs() const { return jobs_.size(); }
    [[nodiscard]] std::size_t ejected_targets() const { return pool_.excluded(); }

private:
    /// A job's timer; the sequence keeps jobs with the same time apart.
    using job_timer = std::pair<core::time_ms, std::uint64_t>;

    [[nodiscard]] job_state* find(job_id id) {
        const auto found = jobs_.find(id);
        return found == jobs_.end() ? nullptr : found->second.get();
    }

    [[nodiscard]] std::uint32_t running_limit() const {
        return static_cast<std::uint32_t>(
            std::min<std::uint64_t>(quota_.max_running_tasks, pool_.usable_slots()));
    }
    /// One team's share of `total`, at least one task.
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

    [[nodiscard]] std::optional<refusal> check_admission(const job_state& job,
                                                         core::time_ms now) const;
    [[nodiscard]] core::duration_ms expected_drain() const;
    [[nodiscard]] double expected_work_ms(const job_state& job) const;
    [[nodiscard]] double longest_learned_task_ms(const job_state& job) const;
    [[nodiscard]] bool may_retry(const job_state& job, std::uint32_t task) const {
        return job.idempotent && (job.single || retry_.retry_failed_starts) &&
               job.attempts[task] < retry_.max_attempts;
    }

    void set_timer(job_state& job, core::time_ms due) {
        timers_.erase({job.timer_due, job.sequence});
        job.timer_due = due;
        timers_.emplace(job_timer{due, job.sequence}, &job);
    }

    void make_urgent(job_state& job) {
        if (!job.urgent) {
            job.urgent = true;
            queue_.update(job);
        }
    }

    void release(attempt_id id, attempt_state& attempt);
    void settle(job_state& job, std::uint32_t task, attempt_result result, target_id target);
    void end_unanswered(job_state& job, end_reason reason, core::duration_ms retry_after = {});
    void end_job(job_state& job, const end_decision& end);
    void stop(attempt_id id, attempt_state& attempt);
    void expire_jobs(core::time_ms now);
    void start_tasks(core::time_ms now);
    [[nodiscard]] std::optional<target_id> place(const job_state& job, double work_ahead_ms,
                                                 core::time_ms now);
    void start_on(job_state& job, target_id target, core::time_ms now);
    attempt_id start(job_state& job, std::uint32_t task, target_id target, core::time_ms now,
                     bool is_hedge);
    void hedge_stragglers(core::time_ms now);
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
    std::set<std::pair<core::time_ms, attempt_id>> hedges_;
    std::uint64_t next_sequence_ = 0;
    core::time_ms no_start_before_{core::duration_ms::min()};
    std::optional<core::time_ms>
        waiting_for_faster_since_; ///< The queue waits for a faster target since then.
    decisions pending_;
};

} // namespace hawthornstall::scheduling

#include "hawthornstall/scheduling/scheduler_impl.hpp"
