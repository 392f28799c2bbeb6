#include "hawthornstall/scheduling/worker_capacity.hpp"

#include <algorithm>
#include <limits>

namespace hawthornstall::scheduling {
namespace detail {

/// Difference of two amounts, 0 if it would be negative.
std::uint32_t saturating_subtract(std::uint64_t minuend, std::uint64_t subtrahend) {
    return minuend > subtrahend ? static_cast<std::uint32_t>(minuend - subtrahend) : 0;
}

/// Tasks that fit into `available` if each takes `size`; no limit if a task takes nothing.
std::uint32_t fit_by_size(std::uint32_t available, std::uint32_t size) {
    return size == 0 ? std::numeric_limits<std::uint32_t>::max() : available / size;
}

} // namespace detail

void worker_capacity::resize(state& target, const core::target_capacity& capacity) const {
    target.capacity = capacity;
    target.capacity.cores = detail::saturating_subtract(capacity.cores, core_headroom);
    target.capacity.memory_mb = static_cast<std::uint32_t>(std::uint64_t{capacity.memory_mb} *
                                                           (100 - memory_headroom_percent) / 100);
}

void worker_capacity::report(state& target, const usage_report& report) const {
    const std::uint64_t own = report.tasks_of_service;
    auto& others = target.used_by_others;
    others.cores = detail::saturating_subtract(report.cores, own * shape_.cores);
    others.memory_mb = detail::saturating_subtract(report.memory_mb, own * shape_.memory_mb);
    others.accelerators =
        detail::saturating_subtract(report.accelerators, own * shape_.accelerators);
}

std::uint32_t worker_capacity::tasks_that_fit(const core::target_capacity& capacity,
                                              const core::target_capacity& used) const {
    const auto fitting = std::min({
        detail::fit_by_size(detail::saturating_subtract(capacity.cores, used.cores), shape_.cores),
        detail::fit_by_size(detail::saturating_subtract(capacity.memory_mb, used.memory_mb),
                            shape_.memory_mb),
        detail::fit_by_size(detail::saturating_subtract(capacity.accelerators, used.accelerators),
                            shape_.accelerators),
    });
    // A task shape without any size would fit without limit, so there is at most one task per core
    // or accelerator, whichever are more.
    return std::min(fitting, std::max(capacity.cores, capacity.accelerators));
}

std::uint32_t worker_capacity::total(const state& target) const {
    return tasks_that_fit(target.capacity, {});
}

std::uint32_t worker_capacity::free(const state& target, std::uint32_t in_flight) const {
    return detail::saturating_subtract(tasks_that_fit(target.capacity, target.used_by_others),
                                       in_flight);
}

} // namespace hawthornstall::scheduling
