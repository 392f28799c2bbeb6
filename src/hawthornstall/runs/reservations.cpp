#include "hawthornstall/runs/reservations.hpp"

namespace hawthornstall::runs {

const reservation* reservations::find(const waiting_task& task) const {
    const auto found = by_task_.find(task);
    return found == by_task_.end() ? nullptr : &found->second.item;
}

void reservations::make(const waiting_task& task, reservation item) {
    const auto earlier = by_task_.find(task);
    if (earlier != by_task_.end()) {
        drop(earlier);
        ++counts_.moved;
    } else {
        ++counts_.made;
    }
    by_target_[item.target] = task;
    by_task_[task] = {.item = std::move(item), .is_current = true};
}

void reservations::keep(const waiting_task& task, const reservation& item) {
    by_task_.at(task) = {.item = item, .is_current = true};
}

void reservations::task_started(const waiting_task& task, std::string_view target) {
    const auto found = by_task_.find(task);
    if (found != by_task_.end()) {
        counts_.used += found->second.item.target == target ? 1 : 0;
        drop(found);
    }
}

void reservations::drop_unused() {
    for (auto position = by_task_.begin(); position != by_task_.end();) {
        position = position->second.is_current ? std::next(position) : drop(position);
    }
}

bool reservations::allows(std::string_view target, const core::resources& wanted,
                          core::time_ms ends_at, placement_policy policy) const {
    const auto found = by_target_.find(target);
    if (found == by_target_.end()) {
        return true;
    }
    const auto& [item, is_current] = by_task_.at(found->second);
    return !is_current || (policy == placement_policy::backfill &&
                           (ends_at <= item.starts_at || item.beside.holds(wanted)));
}

void reservations::other_started(std::string_view target, const core::resources& used,
                                 core::time_ms ends_at) {
    const auto found = by_target_.find(target);
    if (found == by_target_.end()) {
        return;
    }
    ++counts_.backfill;
    auto& item = by_task_.at(found->second).item;
    if (ends_at > item.starts_at) {
        item.beside -= used;
    }
}

reservations::task_map::iterator reservations::drop(task_map::iterator position) {
    by_target_.erase(position->second.item.target);
    return by_task_.erase(position);
}

} // namespace hawthornstall::runs
