#pragma once

/// Where the scheduler places runs and how long their messages take, for logs.

#include "hawthornstall/core/ms_clock.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

namespace hawthornstall::runs {

/// Targets of one class of slowness, and the runs that are reserved on them.
struct speed_class_usage {
    std::size_t targets = 0; ///< Usable ones.
    std::size_t runs = 0;
};

/// Usage by class of slowness, the fastest class first.
using speed_usage = std::map<int, speed_class_usage>;

/// Counts the grants and ends of runs between two records of the log.
class placement_statistics {
public:
    /// Counts the grant of a run whose job arrived `waited` ago.
    void granted(core::duration_ms waited);

    /// Counts the end of a run that was granted `reserved_for` ago, that took `ran_for` on its
    /// target as its lease holder saw it, and that was declared to take `estimated`. The
    /// difference of the first two is what the messages about the run took.
    void ended(core::duration_ms reserved_for, core::duration_ms ran_for,
               core::duration_ms estimated);

    /// Whether a record is due at `now`. One is due every 2 s while there is something to say.
    [[nodiscard]] bool is_due(core::time_ms now) const noexcept;

    /// The counts since the last call, with the usage of the targets and the number of targets that
    /// the placement has looked at since its start, as text.
    [[nodiscard]] std::string take(const speed_usage& usage, std::uint64_t targets_examined,
                                   core::time_ms now);

private:
    std::uint64_t grants_ = 0;
    core::duration_ms waited_{};
    std::uint64_t ends_ = 0;
    core::duration_ms in_messages_{};
    core::duration_ms ran_{};
    core::duration_ms estimated_{};
    std::uint64_t examined_before_ = 0; ///< At the last record.
    core::time_ms next_record_at_{};
};

} // namespace hawthornstall::runs
