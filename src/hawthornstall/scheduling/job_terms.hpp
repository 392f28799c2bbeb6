#pragma once

/// A job as the decision code sees it, and the results of its attempts.

#include "hawthornstall/core/ms_clock.hpp"

#include <cstdint>
#include <span>
#include <string_view>

namespace hawthornstall::scheduling {

/// What the decision code needs to know about a job.
struct job_terms {
    std::string_view team{}; ///< Unit of quotas and fair share: the caller or its team.
    bool idempotent = false;
    bool single = false;      ///< A request without start records, as opposed to a job.
    core::time_ms deadline{}; ///< Time until which the whole answer is wanted.
    std::span<const core::duration_ms> declared_run_times{}; ///< One per task; 0 when unknown.
};

/// How an attempt ended.
enum class attempt_result : std::uint8_t {
    answered,
    failed,  ///< A definite failure reply.
    not_run, ///< The target refused it and proves that it did not run.
    lost,    ///< No reply; it may have run.
};

/// Why a reserved attempt was not sent.
enum class not_sent_cause : std::uint8_t {
    journal, ///< The start record was not acknowledged.
    target,  ///< The target could not be reached.
    stopped, ///< The attempt was stopped first.
};

/// Usage of a target as it reports it, with a lag.
struct usage_report {
    std::uint32_t cores = 0;
    std::uint32_t memory_mb = 0;
    std::uint32_t accelerators = 0;
    std::uint32_t tasks_of_service = 0; ///< Tasks of this service that ran at the time of sampling.
};

} // namespace hawthornstall::scheduling
