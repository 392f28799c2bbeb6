#pragma once

/// Spreads the callers of refused jobs over the seconds in which capacity is forecast to be free.

#include "hawthornstall/core/ms_clock.hpp"

#include <cstdint>
#include <map>

namespace hawthornstall::runs {

/// Capacity that is forecast for the coming seconds.
struct free_capacity {
    double cpu_millis = 0.0;       ///< That arrivals leave; at most 0 when they leave none.
    std::int64_t pending_work = 0; ///< To be done first, in thousandths of a core times ms.
};

/// Tells refused callers when to come back. Each second is offered to callers whose work is at most
/// what the capacity of that second can do; the next callers get a later one. So callers that were
/// refused in one burst do not come back as another one. Does no I/O.
class retry_schedule {
public:
    static constexpr core::duration_ms shortest{1'000};
    /// Callers have given up after a longer time.
    static constexpr core::duration_ms longest{10'000};

    /// The delay for a refused caller whose job has `work`, in whole seconds.
    [[nodiscard]] core::duration_ms invite(std::int64_t work, const free_capacity& capacity,
                                           core::time_ms now);

private:
    std::map<std::int64_t, std::int64_t> invited_; ///< Work by second of the steady clock.
};

} // namespace hawthornstall::runs
