#pragma once

/// Inputs of a scheduler: new jobs, the ends of their attempts, and the usage of targets.

#include "hawthornstall/core/ms_clock.hpp"

#include <cstdint>
#include <span>
#include <string_view>

namespace hawthornstall::scheduling {

/// What a scheduler needs to know about a new job.
struct job_terms {
    std::string_view team{}; ///< Team, or caller without one: the unit of quotas and fair share.
    bool idempotent = false; ///< A task may run more than once.
    bool single_request = false; ///< Not a job but one request, which has no start records.
    core::time_ms deadline{};    ///< Time by which all results must be present.
    std::span<const core::duration_ms> declared_run_times{}; ///< One per task; 0 when unknown.
};

/// How an attempt that was sent ended.
enum class attempt_result : std::uint8_t {
    answered,
    failed,  ///< The target replied that the task failed.
    not_run, ///< The target refused the task, which certainly did not run.
    lost,    ///< No reply came; the task may have run.
};

/// Why an attempt was not sent although capacity was reserved for it.
enum class not_sent_cause : std::uint8_t {
    journal_failed,     ///< The journal did not acknowledge the start record.
    target_unreachable, ///< The target could not be reached.
    stopped,            ///< The attempt was stopped before it was sent.
};

/// Resource usage that a target reports. The report may lag behind the actual usage.
struct usage_report {
    std::uint32_t cores = 0;
    std::uint32_t memory_mb = 0;
    std::uint32_t accelerators = 0;
    std::uint32_t tasks_of_service = 0; ///< Tasks of this service that ran at the time of sampling.
};

} // namespace hawthornstall::scheduling
