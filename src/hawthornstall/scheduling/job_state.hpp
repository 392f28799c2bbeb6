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
    core::time_ms timeout{};                ///< When the timer of the job is due.
    std::vector<std::uint32_t> declared_ms; ///< One per task.
    std::vector<std::uint8_t> attempts;     ///< Attempts so far, one per task.
    std::vector<returned_task> returned;    ///< Tasks to start again.
    std::uint32_t next_task = 0;            ///< First task that never left the queue.
    std::uint32_t answered = 0;
    std::optional<std::uint32_t> first_attempt; ///< Head of the list of attempts in flight.
    std::uint64_t sequence = 0;                 ///< Order of arrival.
    std::optional<std::int64_t> queue_key;      ///< Position in the queue; empty when not queued.
    std::uint32_t queued_tasks = 0;             ///< Pending tasks as the queue last counted them.

    [[nodiscard]] std::uint32_t task_count() const {
        return static_cast<std::uint32_t>(declared_ms.size());
    }

    /// Tasks that wait for a start.
    [[nodiscard]] std::uint32_t pending() const {
        return task_count() - next_task + static_cast<std::uint32_t>(returned.size());
    }

    /// Tasks without an answer.
    [[nodiscard]] std::uint32_t remaining() const { return task_count() - answered; }

    /// The task that starts next.
    [[nodiscard]] returned_task front() const {
        return returned.empty() ? returned_task{next_task, std::nullopt} : returned.back();
    }

    void pop_front() {
        if (returned.empty()) {
            ++next_task;
        } else {
            returned.pop_back();
        }
    }

    [[nodiscard]] core::duration_ms declared(std::uint32_t task) const {
        return core::duration_ms{declared_ms[task]};
    }
};

} // namespace hawthornstall::scheduling
