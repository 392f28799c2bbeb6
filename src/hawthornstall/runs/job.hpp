#pragma once

/// A job whose tasks run on leased targets.

#include "hawthornstall/core/ms_clock.hpp"
#include "hawthornstall/core/resources.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace hawthornstall::runs {

/// Longest time in the terms of a job and the declared run time of a task (115 days). Longer ones
/// would overflow the sums and multiples that the scheduler forms.
constexpr core::duration_ms max_time{10'000'000'000};

/// Largest `job_terms::stretch`.
constexpr double max_stretch = 1'000.0;

/// Identical tasks within a job, started once the steps that they depend on are done.
struct job_step {
    std::uint32_t count = 1;
    core::resources resources{};        ///< Resource request of each task.
    core::duration_ms estimated{};      ///< Declared run time; 0 when not declared.
    std::vector<std::uint32_t> after{}; ///< Earlier steps that must be done first.
    std::string required_label{};       ///< Only targets with this label; empty: any target.
    std::string data_rack{};            ///< Label of the preferred rack; empty: no preference.
    std::uint32_t max_per_target = 0;   ///< Most tasks of the step on one target; 0: no limit.

    bool operator==(const job_step&) const = default;
};

/// Scheduling parameters of a job, set by its route and within limits by the caller.
struct job_terms {
    std::string service{};
    std::uint32_t priority = 0;         ///< 0 is the most urgent; not used by job_scheduler.
    std::uint32_t max_attempts = 1;     ///< Failed runs of one task after which the job fails.
    double stretch = 1.0;               ///< Objective as a multiple of the critical path.
    core::duration_ms latency_target{}; ///< Fixed part of the objective.
    core::duration_ms deadline{};       ///< How long the caller waits.

    bool operator==(const job_terms&) const = default;
};

/// A job as its caller submits it. It is not stored: the caller waits for the result and submits
/// the job again when it is lost.
struct job_request {
    std::string id{};            ///< Chosen by the caller.
    std::string specification{}; ///< Opaque here; for the targets.
    std::vector<job_step> steps{};
    job_terms terms{};

    bool operator==(const job_request&) const = default;
};

/// How a job ended.
enum class job_result : std::uint8_t {
    completed,
    failed,    ///< A task used up its attempts.
    refused,   ///< No task has run or will run.
    lost,      ///< No task runs any more, but some may have run.
    cancelled, ///< A caller asked for the end of the job; no task runs any more.
};

/// Name of the result in log records.
[[nodiscard]] constexpr std::string_view to_string(job_result result) noexcept {
    switch (result) {
    case job_result::completed:
        return "completed";
    case job_result::failed:
        return "failed";
    case job_result::refused:
        return "refused";
    case job_result::cancelled:
        return "cancelled";
    case job_result::lost:
        break;
    }
    return "lost";
}

} // namespace hawthornstall::runs
