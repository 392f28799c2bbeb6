#pragma once

/// Capacity and health of the targets of all lease holders, as one scheduler sees them.

#include "hawthornstall/runs/job.hpp"
#include "hawthornstall/runs/placement_statistics.hpp"
#include "hawthornstall/runs/run_messages.hpp"
#include "hawthornstall/scheduling/target_health.hpp"

#include <concepts>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <utility>

namespace hawthornstall::runs {

/// The target chosen for a task, and the host that holds its lease.
struct placement {
    std::string target{};
    std::string holder{};
};

/// What a task requires of its target: the step has the resource request and the labels.
struct placement_request {
    std::string_view service{};
    const job_step* step = nullptr;
    std::span<const std::string> excluded{}; ///< Targets at the step's limit of tasks per target.
    std::string_view avoid{}; ///< Target of the task's earlier run, used only as the last choice.
    std::string_view front_end{}; ///< Host that sends the start messages of the job.
    std::span<const std::string_view> job_holders{}; ///< Lease holders of the job's other runs.
};

/// Chooses targets for tasks and tracks the capacity and health of the targets. Does no I/O. The
/// resources of a run are reserved from the decision to start it until the lease holder reports its
/// end.
class capacity_pool {
public:
    /// Takes the report of a lease holder. It lists all of the holder's targets, so those that it
    /// no longer lists become unusable.
    void report(const std::string& holder, const target_report& report, core::time_ms now);

    /// Marks all targets unusable until their holders report again, since the state may be stale.
    void invalidate();

    /// Removes the targets of a lease holder that cannot be reached.
    void remove_holder(std::string_view holder);

    /// The best target with enough free resources at `now`, if there is one. Other targets come
    /// before the one to avoid, then those near the task's data, then faster ones, then those that
    /// can take the fewest further tasks of this size. Among these, a target of the front end or of
    /// a lease holder that has runs of the job comes first: the job then depends on fewer hosts and
    /// its specification is sent fewer times. Last comes the one with the least processor capacity
    /// left over (best fit).
    [[nodiscard]] std::optional<placement> pick(const placement_request& request,
                                                core::time_ms now);

    /// How many targets pick() has looked at since the pool was created.
    [[nodiscard]] std::uint64_t targets_examined() const noexcept { return targets_examined_; }

    /// Whether any target of the service has `resources` free at `now`.
    [[nodiscard]] bool has_free_target(std::string_view service, const core::resources& resources,
                                       core::time_ms now) const;

    /// Reserves the resources of a run that is about to start.
    void reserve(std::string_view target, const core::resources& resources);

    /// Returns the resources of a run that has ended.
    void release(std::string_view target, const core::resources& resources);

    /// Updates the health and the speed of a target after a run that was declared to take
    /// `estimated`.
    void record_run_end(std::string_view target, run_end end, core::duration_ms ran_for,
                        core::duration_ms estimated, core::time_ms now);

    /// Readmits the targets whose ejection time has passed, at first with a single task as a probe.
    void readmit(core::time_ms now);

    /// Counts for logs: targets known, usable, with `resources` free, at their limit, and ejected.
    [[nodiscard]] std::string describe(const core::resources& resources) const;

    /// Usable targets and reserved runs by class of slowness.
    [[nodiscard]] speed_usage usage() const;

    /// Whether all lease holders have had time (1 s) to report since the first report arrived.
    [[nodiscard]] bool has_all_reports(core::time_ms now) const;

    /// Whether an empty target of the service could run a task of `step`.
    [[nodiscard]] bool fits_empty_target(std::string_view service, const job_step& step) const;

    /// Total processor capacity of the usable targets of a service, in thousandths of a core.
    [[nodiscard]] std::int64_t usable_cpu_millis(std::string_view service) const;

private:
    /// A target with the reservations and the health that this scheduler tracks for it.
    struct pooled_target {
        held_target target{};
        std::string holder{};
        core::resources reserved{}; ///< By runs of this scheduler.
        scheduling::target_health health;
        core::time_ms ejected_until{};
        int slowness_class = 0;    ///< Rounded logarithm of `slowness`.
        double slowness = 1.0;     ///< Moving average of actual over declared run time.
        std::uint32_t running = 0; ///< Number of reserved runs.

        [[nodiscard]] core::resources free() const {
            return target.capacity - target.used_by_others - reserved;
        }
    };

    /// Targets by free processor capacity, so that a search skips those that are too full.
    using free_index = std::set<std::pair<std::int64_t, std::string_view>>;

    [[nodiscard]] static bool can_accept(const pooled_target& item,
                                         const core::resources& resources);
    [[nodiscard]] static bool is_eligible(const pooled_target& item,
                                          const placement_request& request);
    [[nodiscard]] bool may_eject() const;
    void sum_usable_cpu();
    /// Calls `change` with a target and updates its place in the index.
    template <std::invocable<pooled_target&> Change>
    void update(std::string_view id, pooled_target& item, Change change);
    /// Calls `visit` with the targets that have at least `cpu_millis` free, until it returns false.
    template <std::predicate<const pooled_target&> Visit>
    void visit_free(std::int64_t cpu_millis, Visit visit) const;

    std::map<std::string, pooled_target, std::less<>> targets_;
    free_index by_free_cpu_; ///< Refers to the keys of `targets_`.
    std::map<std::string, std::int64_t, std::less<>> usable_cpu_; ///< By service.
    std::optional<core::time_ms> first_report_;
    std::uint64_t targets_examined_ = 0;
};

} // namespace hawthornstall::runs
