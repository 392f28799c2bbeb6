#pragma once

/// Decisions of a scheduler, which its dispatcher carries out.

#include "hawthornstall/core/ms_clock.hpp"
#include "hawthornstall/core/outcome.hpp"
#include "hawthornstall/scheduling/ids.hpp"

#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

namespace hawthornstall::scheduling {

/// Start `task` of `job` on `target`. The scheduler reserves the capacity when it makes the
/// decision.
struct start_decision {
    attempt_id attempt;
    job_id job{};
    std::uint32_t task = 0;           ///< Index within the job.
    std::uint32_t attempt_number = 0; ///< 1 for the first attempt of the task.
    target_id target{};
};

/// Ask `target` to stop an attempt whose result is no longer wanted. Its capacity stays reserved
/// until the dispatcher reports the end of the attempt.
struct stop_decision {
    attempt_id attempt;
    target_id target{};
};

/// Why a job ended without an answer; `none` if it was answered.
enum class end_reason : std::uint8_t {
    none,
    no_target_large_enough, ///< No known target is large enough for a task of the service.
    queue_quota,            ///< The job exceeds the queue quota of the service or of the team.
    expected_wait,          ///< Its expected end, see admit_feasible, is after the deadline.
    deadline,               ///< The deadline passed.
    cancelled,              ///< The caller cancelled the job.
    task_failed,            ///< A task failed and may not be retried.
    retry_budget,           ///< A task failed and the retry budget is spent.
    attempt_lost,           ///< Contact was lost during an attempt; it may have run.
};

/// Reason as text for the caller, for example "the expected wait exceeds the deadline".
[[nodiscard]] std::string_view to_string(end_reason reason) noexcept;

/// The end of a job. No task of the job starts after it.
struct end_decision {
    job_id job{};
    core::outcome_class outcome = core::outcome_class::refused_not_run;
    end_reason reason = end_reason::none;
    core::duration_ms retry_after{}; ///< When a refused job may be submitted again; 0 for no hint.
};

/// The decisions of one call of scheduler::decide(), each list in the order of decision.
struct decisions {
    std::vector<start_decision> starts;
    std::vector<stop_decision> stops;
    std::vector<end_decision> ends;
    std::optional<core::time_ms> next_call; ///< When to call decide() again; empty if not needed.

    void clear() {
        starts.clear();
        stops.clear();
        ends.clear();
        next_call.reset();
    }
};

} // namespace hawthornstall::scheduling
