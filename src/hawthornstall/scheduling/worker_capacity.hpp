#pragma once

/// Capacity of workers.

#include "hawthornstall/scheduling/capacity_model.hpp"

namespace hawthornstall::scheduling {

/// A task takes the cores, memory and accelerators of the service's task shape. Nothing on a worker
/// enforces the declared size, so a part of each worker is kept free. Own work counts from the
/// decision on; use by others is what a report shows beyond the tasks of this service.
class worker_capacity {
public:
    /// Share of memory kept free: exceeding the memory kills tasks.
    static constexpr std::uint32_t memory_headroom_percent = 10;
    /// Cores kept free: exceeding the cores only slows tasks down, so one core is enough.
    static constexpr std::uint32_t core_headroom = 1;

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
    [[nodiscard]] std::uint32_t fit(const core::target_capacity& capacity,
                                    const core::target_capacity& used) const;

    core::task_shape shape_;
};

static_assert(capacity_model<worker_capacity>);

} // namespace hawthornstall::scheduling
