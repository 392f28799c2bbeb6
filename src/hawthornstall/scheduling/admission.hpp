#pragma once

/// Admission policies: whether a job can be expected to end before its deadline.

#include "hawthornstall/core/ms_clock.hpp"

#include <algorithm>
#include <concepts>
#include <cstdint>
#include <optional>

namespace hawthornstall::scheduling {

/// What is known about a job at its arrival.
struct admission_request {
    core::duration_ms time_left{}; ///< Until the deadline.
    double before_ms = 0.0;        ///< Run time at speed 1 of the pending tasks that go first.
    double own_ms = 0.0;           ///< Run time at speed 1 of all tasks of the job.
    double overtaken_ms = 0.0;     ///< How long later jobs may overtake this one.
    double speed = 0.0;            ///< Sum of the speeds of all slots in service.
    double longest_ms = 0.0;       ///< Longest learned run time in the job; 0 when not learned.
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
    /// Time given to overtaking jobs per time of waiting. With 0, the benchmark at 120 % load has a
    /// mean response time / ideal of 20 to 31; with 4, jobs are refused at 85 % load.
    double overtaking = 2.0;

    [[nodiscard]] std::optional<core::duration_ms> refuse(const admission_request& request) const {
        if (request.before_ms <= 0.0 || request.speed <= 0.0) {
            return std::nullopt; // Nothing to wait for, or no target yet: waits up to its deadline.
        }
        const double wait_ms = (request.before_ms + request.own_ms) / request.speed;
        // Later jobs overtake this one only while it waits, and for `overtaken_ms` at most.
        const double end_ms =
            wait_ms + std::min(request.overtaken_ms, overtaking * wait_ms) + request.longest_ms;
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
