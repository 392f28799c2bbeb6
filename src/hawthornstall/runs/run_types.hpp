#pragma once

/// Runs: executions of one task on one target.

#include "hawthornstall/core/ms_clock.hpp"
#include "hawthornstall/core/resources.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <tuple>

namespace hawthornstall::runs {

/// Identifies a task: the job's id, the step, and the index within the step.
struct task_name {
    std::string job{};
    std::uint32_t step = 0;
    std::uint32_t index = 0;

    bool operator==(const task_name&) const = default;
    bool operator<(const task_name& other) const {
        return std::tie(job, step, index) < std::tie(other.job, other.step, other.index);
    }
};

/// Identifies a run in calls to targets. The number grows with each run of the task.
struct run_name {
    task_name task{};
    std::uint32_t number = 0;

    bool operator==(const run_name&) const = default;
    bool operator<(const run_name& other) const {
        return std::tie(task, number) < std::tie(other.task, other.number);
    }
};

/// Identifies a run between lease holder and scheduler, and names the scheduler that gets its
/// run_ended.
struct run_key {
    std::string scheduler{};  ///< Host that granted it.
    std::uint64_t number = 0; ///< Unique among the scheduler's runs; `key` in messages.

    bool operator==(const run_key&) const = default;
    bool operator<(const run_key& other) const {
        return std::tie(scheduler, number) < std::tie(other.scheduler, other.number);
    }
};

/// How a run ended.
enum class run_end : std::uint8_t {
    done,
    failed,   ///< The task or the target failed.
    stopped,  ///< On request.
    lapsed,   ///< The lease of the target was not renewed in time.
    rejected, ///< The lease holder or the target did not start it and will not.
    lost,     ///< The target has restarted, was taken over or no longer knows the run.
    declined, ///< The target reported itself unhealthy and did not start it.
};

/// Name of the end in log records.
[[nodiscard]] constexpr std::string_view to_string(run_end end) noexcept {
    switch (end) {
    case run_end::done:
        return "done";
    case run_end::failed:
        return "failed";
    case run_end::stopped:
        return "stopped";
    case run_end::lapsed:
        return "lapsed";
    case run_end::rejected:
        return "rejected";
    case run_end::declined:
        return "declined";
    case run_end::lost:
        break;
    }
    return "lost";
}

/// Time limits that all targets of a deployment enforce.
struct run_bounds {
    core::duration_ms longest_lease{1'000}; ///< Targets cap longer leases at this.
    core::duration_ms stop_time{50};        ///< Longest time that a target takes to stop a run.
    /// A caller without a whole answer submits its job again after this time, to any front end.
    core::duration_ms resubmission_delay{1'300};
};

/// A run ends at least this long before its caller can submit the job again.
constexpr core::duration_ms resubmission_margin{50};

/// Latest end of a run whose caller may have been without a front end since `last_served`, the last
/// time at which the front end certainly was alive and the caller waited.
[[nodiscard]] constexpr core::time_ms latest_run_end(const run_bounds& bounds,
                                                     core::time_ms last_served) noexcept {
    return last_served + bounds.resubmission_delay - resubmission_margin;
}

/// Largest drift of a target's clock, as a share of the elapsed time.
constexpr double max_clock_drift = 0.02;

/// Reading of a target's clock that it reaches by `end`, if it showed `clock_ms` at `read_at` or
/// shortly before.
[[nodiscard]] constexpr std::int64_t target_clock_by(core::time_ms end, std::int64_t clock_ms,
                                                     core::time_ms read_at) noexcept {
    const auto elapsed = static_cast<double>((end - read_at).count());
    return clock_ms + static_cast<std::int64_t>(elapsed * (1.0 - max_clock_drift));
}

/// Upper bound, on this host's clock, of the time until a lease of `length` on a target's clock
/// ends.
[[nodiscard]] constexpr core::duration_ms lease_upper_bound(core::duration_ms length) noexcept {
    const auto slow = static_cast<double>(length.count()) * (1.0 + 2 * max_clock_drift);
    return core::duration_ms{static_cast<core::duration_ms::rep>(slow) + 1};
}

} // namespace hawthornstall::runs
