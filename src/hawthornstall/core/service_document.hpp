#pragma once

/// The document in which a team configures one service.

#include "hawthornstall/core/ms_clock.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace hawthornstall::core {

/// How the capacity of the service's targets is counted.
enum class capacity_model : std::uint8_t {
    minion, ///< By slots and connections.
    worker, ///< By cores, memory and accelerators.
};

/// Order in which the queued tasks of the service start.
enum class queue_order : std::uint8_t {
    first_in_first_out,
    fair_share,      ///< The team that has received the least service first.
    fewest_remaining ///< Job with the fewest remaining tasks first; ageing prevents starvation.
};

/// Resources that one task of the service requests, and its expected run time.
struct task_shape {
    std::uint32_t cores = 1;
    std::uint32_t memory_mb = 0;
    std::uint32_t accelerators = 0;
    duration_ms expected_run_time{300}; ///< Estimate until run times are learned.

    bool operator==(const task_shape&) const = default;
};

/// Limits on the jobs and answers that the service accepts.
struct acceptance_rules {
    std::uint32_t max_tasks_per_job = 690;
    std::uint32_t max_payload_bytes = 64 * 1024;
    std::uint32_t max_answer_bytes = 64 * 1024;
    std::vector<std::string> callers; ///< Callers that are admitted; empty admits all.

    bool operator==(const acceptance_rules&) const = default;
};

/// Deadlines that apply to the jobs of the service.
struct service_terms {
    duration_ms default_deadline{10'000}; ///< For jobs that give none.
    duration_ms max_deadline{60'000};     ///< Jobs with a longer one are refused.

    bool operator==(const service_terms&) const = default;
};

/// Rules for further attempts of a task: retries after a failure, and hedges.
struct retry_rules {
    std::uint32_t budget_percent =
        10;                         ///< Retry budget: retries and hedges as a share of successes.
    std::uint32_t max_attempts = 3; ///< Per idempotent task, the first attempt included.
    /// Also retries tasks of jobs that are marked idempotent, not only single idempotent requests.
    bool retry_failed_starts = false;
    bool hedge = false; ///< Starts a second attempt of a task that runs longer than expected.

    bool operator==(const retry_rules&) const = default;
};

/// Quota of the service in one zone.
struct quota_rules {
    std::uint32_t max_queued_tasks = 100'000;
    std::uint32_t max_running_tasks = 100'000;

    bool operator==(const quota_rules&) const = default;
};

/// Configuration of one service, as of the latest accepted edit.
struct service_document {
    std::string service;
    std::string team;
    std::uint64_t version = 0; ///< Assigned when an edit is accepted; starts at 1.
    capacity_model model = capacity_model::minion;
    queue_order order = queue_order::fewest_remaining;
    task_shape task;
    acceptance_rules accepts;
    service_terms terms;
    retry_rules retry;
    quota_rules quota;

    bool operator==(const service_document&) const = default;
};

} // namespace hawthornstall::core
