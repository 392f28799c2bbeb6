#pragma once

/// The capacity model of workers.

#include "hawthornstall/scheduling/capacity_model.hpp"

namespace hawthornstall::scheduling {

/// Each task takes the cores, memory and accelerators of the service's task shape. Nothing on a
/// worker enforces this size, so a part of each worker is kept free as headroom. The tasks of this
/// service count from their start decision on. Usage by other services is what a usage report shows
/// beyond the declared size of this service's tasks.
class worker_capacity {
public:
    /// Share of memory kept free: exceeding the memory kills tasks.
    static constexpr std::uint32_t memory_headroom_percent = 10;
    /// Cores kept free: exceeding the cores only slows tasks down, so one core is enough.
    static constexpr std::uint32_t core_headroom = 1;

    /// Capacity without the headroom, and the part of it that other services use.
    struct state {
        core::target_capacity capacity;
        core::target_capacity used_by_others;
    };

    explicit worker_capacity(const core::task_shape& shape) : shape_(shape) {}

    void resize(state& target, const core::target_capacity& capacity) const;
    void report(state& target, const usage_report& report) const;
    [[nodiscard]] std::uint32_t total(const state& target) const;
    [[nodiscard]] std::uint32_t free(const state& target, std::uint32_t in_flight) const;

private:
    /// Tasks that fit into what `used` leaves of `capacity`.
    [[nodiscard]] std::uint32_t tasks_that_fit(const core::target_capacity& capacity,
                                               const core::target_capacity& used) const;

    core::task_shape shape_;
};

static_assert(capacity_model<worker_capacity>);

} // namespace hawthornstall::scheduling
