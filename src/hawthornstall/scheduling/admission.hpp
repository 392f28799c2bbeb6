#pragma once

/// Admission policies: whether a job can be expected to end before its deadline.

#include "hawthornstall/core/ms_clock.hpp"

#include <concepts>
#include <cstdint>
#include <optional>

namespace hawthornstall::scheduling {

/// What is known about a job at its arrival.
struct admission_request {
    core::duration_ms time_left{};  ///< Until the deadline.
    std::uint64_t tasks_before = 0; ///< Pending tasks that go first.
    std::uint32_t tasks = 0;        ///< Tasks of the job.
    double mean_ms = 0.0;           ///< Mean run time at speed 1.
    double speed = 0.0;             ///< Sum of the speeds of all slots in service.
    double longest_ms = 0.0;        ///< Longest learned run time in the job; 0 when not learned.
};

template <class Policy>
concept admission_policy = requires(const Policy policy, const admission_request& request) {
    // Empty admits the job; otherwise the time after which a new attempt makes sense.
    { policy.refuse(request) } -> std::same_as<std::optional<core::duration_ms>>;
};

/// Admits every job.
struct admit_all {
    [[nodiscard]] std::optional<core::duration_ms>
    refuse(const admission_request& /*request*/) const {
        return std::nullopt;
    }
};

/// Refuses a job whose expected end is after its deadline. Declared run times that are not learned
/// yet do not count: a job refused for a wrong declaration would never run and never correct it.
struct expected_wait {
    [[nodiscard]] std::optional<core::duration_ms> refuse(const admission_request& request) const {
        if (request.tasks_before == 0 || request.speed <= 0.0) {
            return std::nullopt; // Nothing to wait for, or no target yet: waits up to its deadline.
        }
        const auto tasks = static_cast<double>(request.tasks_before + request.tasks);
        const double end_ms = tasks * request.mean_ms / request.speed + request.longest_ms;
        const double excess = end_ms - static_cast<double>(request.time_left.count());
        if (excess <= 0.0) {
            return std::nullopt;
        }
        return core::duration_ms{static_cast<std::int64_t>(excess) + 1};
    }
};

static_assert(admission_policy<admit_all>);
static_assert(admission_policy<expected_wait>);

} // namespace hawthornstall::scheduling
