#pragma once

/// What the scheduler keeps per job.

#include "hawthornstall/core/ms_clock.hpp"
#include "hawthornstall/scheduling/ids.hpp"

#include <cstdint>
#include <optional>
#include <vector>

namespace hawthornstall::scheduling {

/// A task that waits for another attempt.
struct returned_task {
    std::uint32_t task = 0;
    std::optional<target_id> avoid; ///< Where the last attempt failed.
};

/// A job with queued or running tasks. Queued tasks are a counter and a short list, so that
/// dropping them costs nothing per task.
struct job_state {
    job_id id{};
    team_id team{};
    bool idempotent = false;
    bool single = false;
    bool ran = false;  ///< Some attempt ended other than as "not run".
    bool lost = false; ///< It is unknown whether some attempt ran.
    core::time_ms arrival{};
    core::time_ms deadline{};
    bool urgent = false;                    ///< Goes by arrival only, whatever its size.
    core::time_ms refuse_at{};              ///< Refused then unless it has started.
    core::time_ms timeout{};                ///< When the timer of the job is due.
    std::vector<std::uint32_t> declared_ms; ///< One per task.
    std::vector<std::uint8_t> attempts;     ///< Attempts so far, one per task.
    std::vector<returned_task> returned;    ///< Tasks to start again.
    std::vector<std::uint32_t> order;       ///< Tasks, longest declared run time first.
    std::uint32_t next = 0;                 ///< Places [next, end) of `order` never left the queue.
    std::uint32_t end = 0;
    std::uint32_t answered = 0;
    std::optional<std::uint32_t> first_attempt; ///< Head of the list of attempts in flight.
    std::uint64_t sequence = 0;                 ///< Order of arrival.
    std::optional<std::int64_t> queue_key;      ///< Position in the queue; empty when not queued.
    std::int64_t task_work_ms = 1;  ///< Expected run time per task at speed 1, as of the arrival.
    std::uint32_t queued_tasks = 0; ///< Pending tasks as the queue last counted them.

    [[nodiscard]] std::uint32_t task_count() const {
        return static_cast<std::uint32_t>(declared_ms.size());
    }

    /// Tasks that wait for a start.
    [[nodiscard]] std::uint32_t pending() const {
        return end - next + static_cast<std::uint32_t>(returned.size());
    }

    /// Some attempt may have begun to run.
    [[nodiscard]] bool has_started() const { return ran || first_attempt.has_value(); }

    /// From then on a job that has started goes before larger and later ones: the work done for it
    /// is lost if it misses its deadline.
    [[nodiscard]] core::time_ms urgent_at() const { return arrival + (deadline - arrival) / 2; }

    /// Tasks without an answer.
    [[nodiscard]] std::uint32_t remaining() const { return task_count() - answered; }

    /// The task that starts next: one that was returned, else the longest or the shortest.
    [[nodiscard]] returned_task front(bool shortest = false) const {
        if (!returned.empty()) {
            return returned.back();
        }
        return {order[shortest ? end - 1 : next], std::nullopt};
    }

    void pop_front(bool shortest = false) {
        if (!returned.empty()) {
            returned.pop_back();
        } else if (shortest) {
            --end;
        } else {
            ++next;
        }
    }

    [[nodiscard]] core::duration_ms declared(std::uint32_t task) const {
        return core::duration_ms{declared_ms[task]};
    }
};

} // namespace hawthornstall::scheduling
