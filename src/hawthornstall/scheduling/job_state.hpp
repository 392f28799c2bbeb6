#pragma once

/// The scheduler's record of a job.

#include "hawthornstall/core/ms_clock.hpp"
#include "hawthornstall/scheduling/ids.hpp"

#include <cstdint>
#include <optional>
#include <vector>

namespace hawthornstall::scheduling {

/// A task that waits for an attempt.
struct pending_task {
    std::uint32_t task = 0;
    /// Target of the last attempt if it was refused, failed or lost there or could not be sent.
    std::optional<target_id> avoid;
};

/// An open job: it has pending tasks or attempts in flight. Pending tasks are a range of indices
/// and a short list, so that dropping them costs nothing per task.
struct job_state {
    job_id id{};
    team_id team{};
    bool idempotent = false;     ///< A task may run more than once.
    bool single_request = false; ///< See job_terms.
    bool ran = false;            ///< Some attempt ended other than with `not_run`.
    bool lost = false;           ///< It is unknown whether some attempt ran.
    core::time_ms arrival{};
    core::time_ms deadline{};
    bool urgent = false;       ///< Started, and half of its time has passed; see urgent_at().
    core::time_ms refuse_at{}; ///< Time of refusal if no attempt has started by then.
    core::time_ms timer_due{}; ///< When the job's timer fires: its key in `timers_`.
    std::vector<std::uint32_t> declared_ms; ///< Declared run time of each task; 0 if unknown.
    /// Number of attempts so far of each task. Attempts that were not sent count too, and only the
    /// deadline bounds how many there are.
    std::vector<std::uint32_t> attempts;
    std::vector<pending_task> requeued;       ///< Tasks that wait for another attempt.
    std::vector<std::uint32_t> longest_first; ///< All tasks, longest declared run time first.
    std::uint32_t queued_begin = 0;           ///< First task in `longest_first` without an attempt.
    std::uint32_t queued_end = 0;             ///< End of the tasks without an attempt.
    std::uint32_t answered_tasks = 0;
    std::optional<std::uint32_t> first_attempt; ///< First of the attempts in flight, by slot.
    std::uint64_t sequence = 0;                 ///< Rank in order of arrival; unique.
    std::optional<std::int64_t> queue_key;      ///< Job key in the queue; empty if not queued.
    std::int64_t task_work_ms = 1; ///< Mean run time of a task at speed 1, estimated at arrival.
    std::uint32_t counted_pending = 0; ///< Pending tasks that the sums of the queue include.

    [[nodiscard]] std::uint32_t task_count() const {
        return static_cast<std::uint32_t>(declared_ms.size());
    }

    /// Number of tasks that wait for an attempt.
    [[nodiscard]] std::uint32_t pending() const {
        return queued_end - queued_begin + static_cast<std::uint32_t>(requeued.size());
    }

    /// Whether some attempt may have begun to run.
    [[nodiscard]] bool has_started() const { return ran || first_attempt.has_value(); }

    /// Half-way point between arrival and deadline. From then on a job that has started is urgent:
    /// fewest_remaining ignores its size and orders it by arrival only, since the work done for it
    /// would be lost if it missed its deadline.
    [[nodiscard]] core::time_ms urgent_at() const { return arrival + (deadline - arrival) / 2; }

    /// Number of tasks without an answer.
    [[nodiscard]] std::uint32_t remaining() const { return task_count() - answered_tasks; }

    /// The task that starts next: a requeued one, otherwise the longest or the shortest of those
    /// that never started. There must be a pending task.
    [[nodiscard]] pending_task front(bool shortest = false) const {
        if (!requeued.empty()) {
            return requeued.back();
        }
        return {longest_first[shortest ? queued_end - 1 : queued_begin], std::nullopt};
    }

    /// Removes the task that front() returns for the same `shortest`.
    void pop_front(bool shortest = false) {
        if (!requeued.empty()) {
            requeued.pop_back();
        } else if (shortest) {
            --queued_end;
        } else {
            ++queued_begin;
        }
    }

    [[nodiscard]] core::duration_ms declared(std::uint32_t task) const {
        return core::duration_ms{declared_ms[task]};
    }
};

} // namespace hawthornstall::scheduling
