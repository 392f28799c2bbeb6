#pragma once

/// Decides which tasks start on which targets. The front ends and lease holders carry out its
/// decisions.

#include "hawthornstall/runs/capacity_pool.hpp"
#include "hawthornstall/runs/job_record.hpp"
#include "hawthornstall/runs/pending_jobs.hpp"
#include "hawthornstall/runs/placement_statistics.hpp"
#include "hawthornstall/runs/retry_schedule.hpp"
#include "hawthornstall/runs/run_messages.hpp"
#include "hawthornstall/runs/wait_forecast.hpp"
#include "hawthornstall/runs/work_rate.hpp"
#include "hawthornstall/status/status_rows.hpp"

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace hawthornstall::runs {

/// A scheduling decision to be logged.
struct job_event {
    std::string_view what{}; ///< For example "job_ended".
    std::string job{};
    std::string detail{};
    core::duration_ms age{}; ///< Since the job arrived.
};

/// Messages to send and events to log, collected since the last take_effects().
struct scheduler_effects {
    std::vector<addressed_message> messages{};
    std::vector<job_event> events{};
};

/// Queues jobs, starts their tasks on targets and collects the ends of the runs. Does no I/O:
/// inputs update the state, place() makes the decisions, and take_effects() returns them.
class job_scheduler {
public:
    /// Run keys count up from `first_key` + 1. `first_key` must be higher than all keys of earlier
    /// processes of this host, since lease holders remember keys for a while.
    explicit job_scheduler(std::uint64_t first_key = 0,
                           placement_policy policy = placement_policy::fit)
        : policy_(policy), last_key_(first_key) {}

    /// Queues a job of the front end on `host`, or refuses it at once if it cannot be served. A job
    /// whose id is known already gets one more waiter instead of a second execution, in place of an
    /// earlier submission for the same request if there is one.
    void submit(const std::string& host, const submit_job& message, core::time_ms now);

    /// Removes a front end from the waiters of a job. The job ends when nobody waits for it.
    void cancel(const std::string& host, const cancel_job& message, core::time_ms now);

    /// Ends a job at the request of any caller, and tells the front end on `host` whether it was
    /// known. No task of it starts from then on.
    void cancel_named(const std::string& host, const cancel_by_id& message, core::time_ms now);

    /// Releases the resources of a run and finishes or retries its task.
    void on_run_ended(const run_ended& message, core::time_ms now);

    /// Replaces what is known about the targets of a lease holder.
    void report(const std::string& holder, const target_report& report, core::time_ms now);

    /// Places no task on the targets of `zones`, and counts their capacity as unusable.
    void set_drained_zones(std::span<const std::string> zones) { pool_.set_drained_zones(zones); }

    /// Drops the waiters and the targets of a lost host and ends the jobs that had a run there.
    void host_unreachable(std::string_view host, core::time_ms now);

    /// Revokes the runs granted so far on the targets of `host`, whose link is up again: its loss
    /// has ended them here, and their start messages may not have arrived there yet.
    void host_reachable(std::string_view host);

    /// Starts to schedule, perhaps again. What is known about the targets may be stale, so each is
    /// used only after its holder has reported again.
    void start_scheduling();

    /// Another host schedules from now on. Jobs that are already here continue. Jobs that still
    /// arrive come from hosts with a different view of the cluster; they are kept until this host
    /// schedules again or their deadline can no longer be met.
    void stop_scheduling() noexcept { is_scheduling_ = false; }

    /// Runs one round of scheduling: stops overdue runs, readmits targets, ends jobs that can no
    /// longer be served, and starts the tasks that fit, in the order of pending_jobs.
    void place(core::time_ms now);

    [[nodiscard]] scheduler_effects take_effects() { return std::exchange(effects_, {}); }

    /// One row for each job in this scheduler, for operators.
    [[nodiscard]] std::vector<status::job_row> rows(core::time_ms now) const;

    /// Whether the scheduler has no job.
    [[nodiscard]] bool idle() const noexcept { return jobs_.empty(); }

private:
    /// The task that a run executes.
    struct run_task {
        std::string job{};
        std::size_t task = 0;
    };

    /// A resource request for which the current round of placement has found no target.
    struct unmet_request {
        std::string_view label{};
        core::resources resources{};
    };

    /// Pending jobs of one service, the rate at which their work arrives, and the targets that are
    /// reserved for them.
    struct service_queue {
        pending_jobs pending{};
        work_rate arrivals{};
        arrival_mix arrivals_by_objective{};
        retry_schedule retries{};
        reservations reserved{};
    };

    /// State of one round of placement of one service.
    struct placement_round {
        std::vector<unmet_request> unmet{};
        bool is_restricted = false; ///< Tasks before are waiting; their reservations count.
        std::size_t blocked = 0;    ///< Tasks that only reservations have kept from a target.
        std::size_t searches = 0;   ///< Searches for a target to reserve.
    };

    enum class placement_result : std::uint8_t {
        started,
        blocked, ///< Only reservations keep the task from a target.
        unmet,   ///< It fits nowhere.
    };

    [[nodiscard]] bool knows_capacity(core::time_ms now) const;
    [[nodiscard]] bool is_infeasible(const job_record& job, core::time_ms now) const;
    [[nodiscard]] double fillable_cpu_millis(std::string_view service) const;
    [[nodiscard]] core::duration_ms expected_wait(const job_record& job, core::time_ms now) const;
    [[nodiscard]] core::duration_ms retry_delay(const job_record& job, core::time_ms now);
    [[nodiscard]] core::duration_ms expected_wait_when_late(const job_record& job,
                                                            core::time_ms now) const;
    [[nodiscard]] std::string reason_to_refuse(const job_record& job, core::time_ms now) const;
    [[nodiscard]] std::string describe_forecast(const job_record& job,
                                                core::duration_ms wait) const;
    [[nodiscard]] pending_jobs& queue_of(const job_record& job);
    void review(job_record& job, core::time_ms now);
    void place_jobs(std::string_view service, service_queue& queue, core::time_ms now);
    void place_tasks(job_record& job, service_queue& queue, placement_round& round,
                     core::time_ms now);
    void drop_outdated_reservations(service_queue& queue);
    void reserve_target(const job_record& job, std::size_t index, service_queue& queue,
                        placement_round& round, core::time_ms now);
    [[nodiscard]] placement_result place_task(job_record& job, std::size_t index,
                                              service_queue& queue, const placement_round& round,
                                              core::time_ms now);
    void note_start(const job_record& job, std::size_t index, service_queue& queue,
                    core::time_ms now);
    void start_task(job_record& job, std::size_t index, placement&& chosen, service_queue& queue,
                    core::time_ms now);
    [[nodiscard]] std::string describe_reservations();
    void stop_overdue(core::time_ms now);
    void set_state(job_record& job, task_record& task, task_record::phase state);
    [[nodiscard]] std::vector<std::string> targets_at_step_limit(const job_record& job,
                                                                 const task_record& task) const;
    void stop_runs(const job_record& job);
    void start_ending(job_record& job, job_result result, std::string_view reason,
                      core::time_ms now);
    void finish_if_complete(job_record& job, core::time_ms now);
    void answer(const job_record& job, core::time_ms now);
    void add_waiter(job_record& job, const job_waiter& waiter);
    void remove_waiter(job_record& job, const job_waiter& waiter, std::string_view reason,
                       core::time_ms now);

    placement_policy policy_;
    capacity_pool pool_;
    end_forecast ends_;
    std::map<std::string, job_record, std::less<>> jobs_; ///< By id.
    std::map<job_waiter, std::string> waiters_;           ///< Id of the job that each waits for.
    std::map<std::string, service_queue, std::less<>> queues_; ///< By service.
    std::map<std::uint64_t, run_task> runs_;                   ///< By run key.
    std::uint64_t last_key_;
    std::uint64_t last_number_ = 0;
    bool is_scheduling_ = false;        ///< Whether this host is the scheduler in its own view.
    core::time_ms overdue_check_due_{}; ///< When overdue runs are looked for next.
    placement_statistics statistics_;
    scheduler_effects effects_;
};

} // namespace hawthornstall::runs
