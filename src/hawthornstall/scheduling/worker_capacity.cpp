#include "hawthornstall/scheduling/worker_capacity.hpp"

#include <algorithm>
#include <limits>

namespace hawthornstall::scheduling {
namespace detail {

std::uint32_t difference(std::uint64_t larger, std::uint64_t smaller) {
    return larger > smaller ? static_cast<std::uint32_t>(larger - smaller) : 0;
}

/// Tasks that fit into `room` when each takes `size`; no limit when a task takes nothing.
std::uint32_t fit_one(std::uint32_t room, std::uint32_t size) {
    return size == 0 ? std::numeric_limits<std::uint32_t>::max() : room / size;
}

} // namespace detail

void worker_capacity::resize(state& target, const core::target_capacity& capacity) const {
    target.capacity = capacity;
    target.capacity.cores = detail::difference(capacity.cores, core_headroom);
    target.capacity.memory_mb = static_cast<std::uint32_t>(std::uint64_t{capacity.memory_mb} *
                                                           (100 - memory_headroom_percent) / 100);
}

void worker_capacity::report(state& target, const usage_report& report) const {
    const std::uint64_t own = report.tasks_of_service;
    auto& others = target.used_by_others;
    others.cores = detail::difference(report.cores, own * shape_.cores);
    others.memory_mb = detail::difference(report.memory_mb, own * shape_.memory_mb);
    others.accelerators = detail::difference(report.accelerators, own * shape_.accelerators);
}

std::uint32_t worker_capacity::fit(const core::target_capacity& capacity,
                                   const core::target_capacity& used) const {
    const auto fitting = std::min({
        detail::fit_one(detail::difference(capacity.cores, used.cores), shape_.cores),
        detail::fit_one(detail::difference(capacity.memory_mb, used.memory_mb), shape_.memory_mb),
        detail::fit_one(detail::difference(capacity.accelerators, used.accelerators),
                        shape_.accelerators),
    });
    // A shape without any size is limited by the cores, so that a worker is never unlimited.
    return std::min(fitting, std::max(capacity.cores, capacity.accelerators));
}

std::uint32_t worker_capacity::total(const state& target) const {
    return fit(target.capacity, {});
}

std::uint32_t worker_capacity::free(const state& target, std::uint32_t in_flight) const {
    return detail::difference(fit(target.capacity, target.used_by_others), in_flight);
}

} // namespace hawthornstall::scheduling
