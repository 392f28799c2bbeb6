#pragma once

/// What a scheduler asks its dispatcher to do.

#include "hawthornstall/core/ms_clock.hpp"
#include "hawthornstall/core/outcome.hpp"
#include "hawthornstall/scheduling/ids.hpp"

#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

namespace hawthornstall::scheduling {

/// Start `task` of `job` on `target`. The capacity is reserved from the decision on.
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

/// Why a job ended without an answer.
enum class end_reason : std::uint8_t {
    none,
    cannot_ever_run, ///< No known target is large enough for a task of the service.
    queue_quota,     ///< The queue of the service or of the team is full.
    expected_wait,   ///< The expected wait exceeds the deadline.
    deadline,        ///< The deadline passed.
    cancelled,       ///< The caller cancelled the job.
    task_failed,     ///< A task failed and may not be retried.
    retry_budget,    ///< A task failed and the retry budget is spent.
    attempt_lost,    ///< It is unknown whether an attempt ran.
};

/// Text for the caller, for example "the expected wait exceeds the deadline".
[[nodiscard]] std::string_view to_string(end_reason reason) noexcept;

/// The end of a job. Nothing of the job starts after it.
struct end_decision {
    job_id job{};
    core::outcome_class outcome = core::outcome_class::refused_not_run;
    end_reason reason = end_reason::none;
    core::duration_ms retry_after{}; ///< Hint for a refused job; 0 when there is none.
};

/// The decisions of one call, in the order in which they were made.
struct decisions {
    std::vector<start_decision> starts;
    std::vector<stop_decision> stops;
    std::vector<end_decision> ends;
    std::optional<core::time_ms> next_call; ///< Latest time of the next call; empty for none.

    void clear() {
        starts.clear();
        stops.clear();
        ends.clear();
        next_call.reset();
    }
};

} // namespace hawthornstall::scheduling
