#pragma once

/// Capacity and health of the targets of all lease holders, as one scheduler sees them.

#include "hawthornstall/runs/end_forecast.hpp"
#include "hawthornstall/runs/job.hpp"
#include "hawthornstall/runs/placement_statistics.hpp"
#include "hawthornstall/runs/pooled_target.hpp"
#include "hawthornstall/runs/reservations.hpp"
#include "hawthornstall/runs/run_messages.hpp"
#include "hawthornstall/runs/target_indexes.hpp"

#include <concepts>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>

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
    /// Reservations of other tasks that restrict this one; null: none do.
    const reservations* reserved = nullptr;
    placement_policy policy = placement_policy::fit;
    std::string_view own_target{}; ///< Target that is reserved for this task.
};

/// A target on which a task is forecast to fit.
struct forecast_fit {
    std::string target{};
    core::time_ms at{};
    core::resources beside{}; ///< Expected to be free at that time beside the task.
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

    /// Uses no target of `zones`, and those of all other zones again.
    void set_drained_zones(std::span<const std::string> zones);

    /// The best target with enough free resources at `now`, if there is one. Other targets come
    /// before the one to avoid, then those near the task's data, then faster ones, then those that
    /// can take the fewest further tasks of this size. Among these, a target of the front end or of
    /// a lease holder that has runs of the job comes first: the job then depends on fewer hosts and
    /// its specification is sent fewer times. Last comes the one with the least processor capacity
    /// left over (best fit).
    [[nodiscard]] std::optional<placement> pick(const placement_request& request,
                                                core::time_ms now);

    /// The target on which a task that fits nowhere now is forecast to fit first, among those that
    /// are not reserved for another task; empty if there is none.
    [[nodiscard]] std::optional<forecast_fit> earliest_fit(const placement_request& request,
                                                           const end_forecast& ends,
                                                           core::time_ms now) const;

    /// The same for one target only.
    [[nodiscard]] std::optional<forecast_fit> fit_on(std::string_view target,
                                                     const placement_request& request,
                                                     const end_forecast& ends,
                                                     core::time_ms now) const;

    /// How long a task of `step` is expected to take on a target, from its grant to its end at the
    /// scheduler.
    [[nodiscard]] core::duration_ms expected_duration(std::string_view target,
                                                      const job_step& step) const;

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

    /// Number of usable targets of a service.
    [[nodiscard]] std::size_t usable_targets(std::string_view service) const;

    /// Total processor capacity of the usable targets of a service, in thousandths of a core.
    [[nodiscard]] std::int64_t usable_cpu_millis(std::string_view service) const;

private:
    [[nodiscard]] bool is_eligible(const pooled_target& item, const placement_request& request,
                                   core::time_ms now);
    [[nodiscard]] static std::optional<forecast_fit> fit_on(const pooled_target& item,
                                                            const placement_request& request,
                                                            const end_forecast& ends,
                                                            core::time_ms now);
    template <std::predicate<const pooled_target&> Accept>
    [[nodiscard]] const pooled_target* pick_in_rack(const placement_request& request,
                                                    Accept accept) const;
    template <std::predicate<const pooled_target&> Accept>
    [[nodiscard]] const pooled_target* prefer_known_holder(const placement_request& request,
                                                           const pooled_target& first,
                                                           Accept accept) const;
    [[nodiscard]] bool may_eject() const;
    void add_usable_cpu(const pooled_target& item, std::int64_t sign);
    void join_groups(const pooled_target& item);
    void leave_groups(const pooled_target& item);
    void replace_report(pooled_target& item, const std::string& holder, const held_target& target);
    void set_unusable(pooled_target& item);
    /// Calls `change` with a target and updates its places in the order and in the sum of usable
    /// capacity.
    template <std::invocable<pooled_target&> Change>
    void update(pooled_target& item, Change change);

    std::map<std::string, pooled_target, std::less<>> targets_;
    std::set<std::string, std::less<>> drained_zones_;
    free_target_order order_;
    target_groups by_holder_;
    target_groups by_label_;
    std::map<std::string, std::int64_t, std::less<>> usable_cpu_;     ///< By service.
    std::map<std::string, std::int64_t, std::less<>> usable_targets_; ///< By service.
    std::optional<core::time_ms> first_report_;
    std::uint64_t targets_examined_ = 0;
};

} // namespace hawthornstall::runs
