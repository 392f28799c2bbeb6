#pragma once

/// Jobs and single requests in the form in which every front end passes them to the dispatcher.

#include "hawthornstall/core/ms_clock.hpp"
#include "hawthornstall/core/outcome.hpp"
#include "hawthornstall/core/submission_id.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace hawthornstall::core {

/// One task of a job.
struct task_request {
    std::string payload;             ///< Opaque bytes that the target receives.
    duration_ms declared_run_time{}; ///< Estimate of the caller; 0 when there is none.

    bool operator==(const task_request&) const = default;
};

/// A job of one or more tasks, or a single request, which has exactly one task.
struct job_request {
    std::string service;
    std::string caller;              ///< Authenticated name of the caller.
    std::optional<submission_id> id; ///< Empty for a single idempotent request.
    bool idempotent = false;         ///< Tasks may run more than once.
    /// Time from arrival within which the caller needs the answer; 0 selects the default of the
    /// service.
    duration_ms deadline{};
    std::vector<task_request> tasks;

    bool operator==(const job_request&) const = default;
};

/// Final answer to a job: the results of all tasks, or a failure without partial results.
struct job_answer {
    std::optional<submission_id> id;
    outcome_class outcome = outcome_class::refused_not_run;
    std::string reason;               ///< Why the job was not answered.
    duration_ms retry_after{};        ///< Backoff hint for a refused job; 0 when there is none.
    std::vector<std::string> results; ///< One per task, in task order; empty unless answered.

    bool operator==(const job_answer&) const = default;
};

} // namespace hawthornstall::core
