#include "hawthornstall/control/answered_edit_cache.hpp"

#include <utility>

namespace hawthornstall::control {

const answered_edit* answered_edit_cache::find(const edit_key& key) const {
    const auto found = by_key_.find(key);
    return found == by_key_.end() ? nullptr : &found->second;
}

void answered_edit_cache::add(answered_edit edit) {
    oldest_first_.push_back(edit.key);
    by_key_.emplace(edit.key, std::move(edit));
    while (oldest_first_.size() > capacity_) {
        by_key_.erase(oldest_first_.front());
        oldest_first_.pop_front();
    }
}

std::vector<answered_edit> answered_edit_cache::entries() const {
    std::vector<answered_edit> entries;
    entries.reserve(oldest_first_.size());
    for (const auto& key : oldest_first_) {
        entries.push_back(by_key_.at(key));
    }
    return entries;
}

void answered_edit_cache::restore(std::span<const answered_edit> entries) {
    by_key_.clear();
    oldest_first_.clear();
    for (const auto& entry : entries) {
        add(entry);
    }
}

} // namespace hawthornstall::control
