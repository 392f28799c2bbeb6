#pragma once

/// Jobs and single requests as every front end hands them to the dispatcher.

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
    std::string payload;             ///< Opaque bytes for the target.
    duration_ms declared_run_time{}; ///< The caller's estimate; 0 when it gives none.

    bool operator==(const task_request&) const = default;
};

/// A job (a submission of one or more tasks) or a single request.
struct job_request {
    std::string service;
    std::string caller;              ///< Authenticated name of the caller.
    std::optional<submission_id> id; ///< Empty for a single idempotent request.
    bool idempotent = false;
    duration_ms
        deadline{}; ///< Time until which the answer is wanted; 0 takes the service's default.
    std::vector<task_request> tasks;

    bool operator==(const job_request&) const = default;
};

/// The end of a job: whole (every task answered) or a clear failure without partial results.
struct job_answer {
    std::optional<submission_id> id;
    outcome_class outcome = outcome_class::refused_not_run;
    std::string reason;               ///< Why the job was not answered.
    duration_ms retry_after{};        ///< Hint for a refused job; 0 when there is none.
    std::vector<std::string> results; ///< One per task in order when answered, otherwise empty.

    bool operator==(const job_answer&) const = default;
};

} // namespace hawthornstall::core
