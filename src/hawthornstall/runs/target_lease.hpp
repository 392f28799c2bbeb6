#pragma once

/// The lease of the runs on one target, on the target's clock, as its holder knows it.

#include "hawthornstall/runs/run_types.hpp"

#include <cstdint>
#include <optional>
#include <vector>

namespace hawthornstall::runs {

/// Tracks the clock of a target's process, the lease that the holder has set, and the time by which
/// it has certainly ended. All runs on a target share its lease, which never shortens.
class target_lease {
public:
    /// Times are those of the holder's steady clock unless they are said to be the target's.
    target_lease(const run_bounds& bounds, core::time_ms now);

    /// Takes a reading of the target's clock. After the first one of a process the longest lease
    /// counts as set, since an earlier holder may have done so.
    void read_clock(std::int64_t clock_ms, core::time_ms now);

    /// The last reading of the target's clock; empty before the first one.
    [[nodiscard]] const std::optional<std::int64_t>& clock() const noexcept { return clock_; }

    /// End of the lease on the target's clock; empty before the first reading.
    [[nodiscard]] const std::optional<std::int64_t>& end() const noexcept { return end_; }

    /// Reading that the target's clock has reached by `time`. There must have been one before.
    [[nodiscard]] std::int64_t clock_by(core::time_ms time) const;

    /// End on the target's clock of the longest lease that the target allows now. There must have
    /// been a reading before.
    [[nodiscard]] std::int64_t longest_end(core::time_ms now) const;

    /// Extends the lease to `end` on the target's clock, unless it is longer already.
    void extend(std::int64_t end, core::time_ms now);

    /// Remembers a call that extends the lease and got no answer. It may be executed late, and its
    /// lease may count from then.
    void add_late_call(core::time_ms sent);

    /// Discards late calls that cannot be executed any more.
    void drop_expired_late_calls(core::time_ms now);

    /// Discards all late calls: the target has seen a higher token.
    void drop_late_calls() noexcept { late_calls_.clear(); }

    /// Discards the clock and the lease of a process that has ended. Late calls are kept, since a
    /// later process may execute them.
    void forget_process() noexcept;

    /// Time by which the runs on a target that gets no calls any more have certainly ended. Each
    /// late call can be executed just before the lease would end and extend it once.
    [[nodiscard]] core::time_ms ended_by() const;

    /// Time by which a run that a late call starts has certainly ended; the epoch if there is none.
    [[nodiscard]] core::time_ms late_runs_ended_by() const;

private:
    core::duration_ms longest_lease_;
    std::optional<std::int64_t> clock_; ///< The target's clock at `clock_read_at_`.
    core::time_ms clock_read_at_{};
    std::optional<std::int64_t> end_;
    core::time_ms expired_at_;              ///< By then the lease has ended, but for late calls.
    std::vector<core::time_ms> late_calls_; ///< When they were sent, in order.
};

} // namespace hawthornstall::runs
