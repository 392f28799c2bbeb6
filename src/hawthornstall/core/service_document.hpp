#pragma once

/// The document by which a team governs one service.

#include "hawthornstall/core/ms_clock.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace hawthornstall::core {

/// Which capacity model the service's targets follow.
enum class capacity_model : std::uint8_t {
    minion, ///< Slots and connections.
    worker, ///< Cores, memory and accelerators.
};

/// Order in which queued tasks of one service are started.
enum class queue_order : std::uint8_t {
    first_in_first_out,
    fair_share,      ///< Fair between callers' teams.
    fewest_remaining ///< Job with the fewest remaining tasks first, with ageing.
};

/// What one task of the service needs; a prior until real sizes are learned.
struct task_shape {
    std::uint32_t cores = 1;
    std::uint32_t memory_mb = 0;
    std::uint32_t accelerators = 0;
    duration_ms expected_run_time{300};

    bool operator==(const task_shape&) const = default;
};

/// What the service accepts.
struct acceptance_rules {
    std::uint32_t max_tasks_per_job = 690;
    std::uint32_t max_payload_bytes = 64 * 1024;
    std::uint32_t max_answer_bytes = 64 * 1024;
    std::vector<std::string> callers; ///< Names of admitted callers; empty admits all.

    bool operator==(const acceptance_rules&) const = default;
};

/// What the service's callers are due.
struct service_terms {
    duration_ms default_deadline{10'000};
    duration_ms max_deadline{60'000};

    bool operator==(const service_terms&) const = default;
};

/// Limits on repeated attempts.
struct retry_rules {
    std::uint32_t budget_percent = 10; ///< Retries and hedges as a share of successes.
    std::uint32_t max_attempts = 3;    ///< Attempts per idempotent task.
    bool retry_failed_starts = false;  ///< Also for tasks of jobs that are marked idempotent.
    bool hedge = false;                ///< Second attempt for stragglers.

    bool operator==(const retry_rules&) const = default;
};

/// Bounds on what the service may occupy in one zone.
struct quota_rules {
    std::uint32_t max_queued_tasks = 100'000;
    std::uint32_t max_running_tasks = 100'000;

    bool operator==(const quota_rules&) const = default;
};

/// One service, as its team last had it accepted.
struct service_document {
    std::string service;
    std::string team;
    std::uint64_t version = 0; ///< Assigned when an edit is accepted; the first one is 1.
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
