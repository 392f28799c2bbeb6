#pragma once

/// Runs: starts of one task on one target.

#include "hawthornstall/core/ms_clock.hpp"
#include "hawthornstall/core/room.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <tuple>

namespace hawthornstall::runs {

/// Names a task of a job.
struct task_name {
    std::string job{};
    std::uint32_t step = 0;
    std::uint32_t index = 0;

    bool operator==(const task_name&) const = default;
    bool operator<(const task_name& other) const {
        return std::tie(job, step, index) < std::tie(other.job, other.step, other.index);
    }
};

/// Names one start of a task; the number grows with each start.
struct run_name {
    task_name task{};
    std::uint32_t number = 0;

    bool operator==(const run_name&) const = default;
    bool operator<(const run_name& other) const {
        return std::tie(task, number) < std::tie(other.task, other.number);
    }
};

/// Names a run among the orders of all schedulers.
struct run_key {
    std::string scheduler{}; ///< Host that ordered it.
    std::uint64_t number = 0;

    bool operator==(const run_key&) const = default;
    bool operator<(const run_key& other) const {
        return std::tie(scheduler, number) < std::tie(other.scheduler, other.number);
    }
};

/// How a run ended.
enum class run_end : std::uint8_t {
    done,
    failed,   ///< Through the task's own fault or the target's.
    stopped,  ///< On request.
    lapsed,   ///< The lease of the target was not renewed in time.
    rejected, ///< Its holder or the target did not start it, and will not.
    lost,     ///< The target ended or cannot be reached, and nothing of the run is left on it.
    declined, ///< The target says that it is unhealthy and has done nothing.
};

/// Name for logs.
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

/// Time limits that the targets of a deployment observe.
struct run_bounds {
    core::duration_ms longest_lease{1'000}; ///< A target shortens longer leases to this.
    core::duration_ms stop_time{50};        ///< Longest time that a stop takes on a target.
};

/// Largest error of a target's clock, as a share of the time that passes.
constexpr double target_clock_error = 0.02;

/// Time after which a lease of `length`, measured on a target's clock, has ended for certain.
[[nodiscard]] constexpr core::duration_ms longest_span(core::duration_ms length) noexcept {
    const auto slow = static_cast<double>(length.count()) * (1.0 + 2 * target_clock_error);
    return core::duration_ms{static_cast<core::duration_ms::rep>(slow) + 1};
}

} // namespace hawthornstall::runs
