#include "hawthornstall/runs/target_indexes.hpp"

namespace hawthornstall::runs {

void free_target_order::insert(const pooled_target& item) {
    if (item.is_usable()) {
        services_[item.target.service][item.order_class()].emplace(item.free().cpu_millis,
                                                                   item.target.id, &item);
    }
}

void free_target_order::erase(const pooled_target& item) {
    if (!item.is_usable()) {
        return;
    }
    auto& classes = services_[item.target.service];
    auto& targets = classes[item.order_class()];
    targets.erase({item.free().cpu_millis, item.target.id, &item});
    if (targets.empty()) {
        classes.erase(item.order_class());
    }
}

void target_groups::insert(const std::string& group, const pooled_target& item) {
    groups_[group].push_back(&item);
}

void target_groups::erase(std::string_view group, const pooled_target& item) {
    const auto found = groups_.find(group);
    if (found == groups_.end()) {
        return;
    }
    std::erase(found->second, &item);
    if (found->second.empty()) {
        groups_.erase(found);
    }
}

std::span<const pooled_target* const> target_groups::find(std::string_view group) const {
    const auto found = groups_.find(group);
    return found == groups_.end() ? std::span<const pooled_target* const>{} : found->second;
}

} // namespace hawthornstall::runs
