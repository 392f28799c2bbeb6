#include "hawthornstall/control/edit_memory.hpp"

#include <utility>

namespace hawthornstall::control {

const remembered_edit* edit_memory::find(const edit_key& key) const {
    const auto found = by_key_.find(key);
    return found == by_key_.end() ? nullptr : &found->second;
}

void edit_memory::remember(remembered_edit edit) {
    oldest_first_.push_back(edit.key);
    by_key_.emplace(edit.key, std::move(edit));
    while (oldest_first_.size() > capacity_) {
        by_key_.erase(oldest_first_.front());
        oldest_first_.pop_front();
    }
}

std::vector<remembered_edit> edit_memory::entries() const {
    std::vector<remembered_edit> entries;
    entries.reserve(oldest_first_.size());
    for (const auto& key : oldest_first_) {
        entries.push_back(by_key_.at(key));
    }
    return entries;
}

void edit_memory::restore(std::span<const remembered_edit> entries) {
    by_key_.clear();
    oldest_first_.clear();
    for (const auto& entry : entries) {
        remember(entry);
    }
}

} // namespace hawthornstall::control
