#pragma once

/// Forecasts how long a job waits, from the work that goes before it and the work that will arrive
/// and overtake it.

#include "hawthornstall/core/ms_clock.hpp"
#include "hawthornstall/runs/work_rate.hpp"

#include <cstdint>
#include <map>
#include <span>
#include <vector>

namespace hawthornstall::runs {

/// Work that arrives with about the same objective.
struct arriving_work {
    core::duration_ms objective{}; ///< Time from the arrival of a job until its result is due.
    double cpu_millis = 0.0;       ///< Rate of arrival: thousandths of a core.
};

/// What a forecast is about.
struct wait_question {
    std::int64_t work_ahead = 0;        ///< Thousandths of a core times ms.
    double cpu_millis = 0.0;            ///< Capacity that tasks can use.
    core::duration_ms time_until_due{}; ///< Jobs that are due earlier go first.
    core::duration_ms longest{};        ///< No longer wait is of interest.
};

/// Expected time until all work has started that is ahead of the job or arrives meanwhile and is
/// due earlier, at most `longest`.
[[nodiscard]] core::duration_ms forecast_wait(const wait_question& question,
                                              std::span<const arriving_work> arrivals);

/// Rates at which work arrives, by the objective of its jobs.
class arrival_mix {
public:
    /// Adds the work of a job that arrived at `now`.
    void add(core::duration_ms objective, std::int64_t work, core::time_ms now);

    [[nodiscard]] std::vector<arriving_work> rates(core::time_ms now) const;

private:
    /// By the binary logarithm of the objective in ms. Jobs within a factor of two of each other
    /// count as equally urgent.
    std::map<int, work_rate> rates_;
};

} // namespace hawthornstall::runs
