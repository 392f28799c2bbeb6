#pragma once

/// Targets that are reserved for waiting tasks.

#include "hawthornstall/core/ms_clock.hpp"
#include "hawthornstall/core/resources.hpp"

#include <concepts>
#include <cstddef>
#include <cstdint>
#include <iterator>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace hawthornstall::runs {

/// How waiting tasks that fit nowhere influence the placement of others.
enum class placement_policy : std::uint8_t {
    fit,      ///< Not at all: smaller tasks take each gap as it appears.
    reserve,  ///< A target is kept free for the first of them, until they start.
    backfill, ///< As reserve, but tasks that do not delay the reserved start may use the target.
};

/// Name of the policy in settings.
[[nodiscard]] constexpr std::string_view to_string(placement_policy policy) noexcept {
    switch (policy) {
    case placement_policy::fit:
        return "fit";
    case placement_policy::reserve:
        return "reserve";
    case placement_policy::backfill:
        break;
    }
    return "backfill";
}

/// A waiting task: the number of its job at the scheduler and its place among the tasks of the job.
using waiting_task = std::pair<std::uint64_t, std::size_t>;

/// A target that is reserved for a waiting task.
struct reservation {
    std::string job{}; ///< Id of the task's job.
    std::string target{};
    core::time_ms starts_at{}; ///< When the task is expected to fit.
    core::resources beside{};  ///< Expected to be free at that time beside the task.
};

/// Counts since the last take_counts().
struct reservation_counts {
    std::uint64_t made = 0;
    std::uint64_t moved = 0;
    std::uint64_t used = 0;     ///< The task started on the reserved target.
    std::uint64_t backfill = 0; ///< Other tasks that were started on a reserved target.
};

/// The reservations of one service. In each round of placement the scheduler comes to the waiting
/// tasks in the order of their jobs, and says with keep() or make() which of them still fit
/// nowhere. A reservation restricts only the tasks that come after its own in the same round. Does
/// no I/O.
class reservations {
public:
    /// The reservation of a task; null if there is none.
    [[nodiscard]] const reservation* find(const waiting_task& task) const;

    /// Begins a round. Drops the reservations for which `is_outdated` returns true.
    template <std::predicate<const waiting_task&, const reservation&> IsOutdated>
    void begin_round(IsOutdated is_outdated) {
        for (auto position = by_task_.begin(); position != by_task_.end();) {
            position->second.is_current = false;
            position = is_outdated(position->first, position->second.item) ? drop(position)
                                                                           : std::next(position);
        }
    }

    /// Whether a target is reserved.
    [[nodiscard]] bool is_reserved(std::string_view target) const {
        return by_target_.contains(target);
    }

    [[nodiscard]] std::size_t size() const noexcept { return by_task_.size(); }

    /// Makes a reservation, or replaces that of the task.
    void make(const waiting_task& task, reservation item);

    /// The task still waits for its reserved target, which is now expected to take it as `item`
    /// says.
    void keep(const waiting_task& task, const reservation& item);

    /// The task has started on `target`.
    void task_started(const waiting_task& task, std::string_view target);

    /// Ends a round in which the scheduler came to all waiting tasks: drops the reservations that
    /// were neither made nor kept.
    void drop_unused();

    /// Whether another task that would run until `ends_at` may start on a target, as far as the
    /// tasks that came before in this round are concerned. `policy` is reserve or backfill.
    [[nodiscard]] bool allows(std::string_view target, const core::resources& wanted,
                              core::time_ms ends_at, placement_policy policy) const;

    /// A task that has no reservation now has started on a target, reserved or not.
    void other_started(std::string_view target, const core::resources& used, core::time_ms ends_at);

    [[nodiscard]] reservation_counts take_counts() { return std::exchange(counts_, {}); }

private:
    struct entry {
        reservation item;
        bool is_current = true; ///< Made or kept in this round.
    };
    using task_map = std::map<waiting_task, entry>;

    task_map::iterator drop(task_map::iterator position);

    task_map by_task_;
    std::map<std::string, waiting_task, std::less<>> by_target_;
    reservation_counts counts_;
};

} // namespace hawthornstall::runs
