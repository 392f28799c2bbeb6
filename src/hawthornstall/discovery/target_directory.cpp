#include "hawthornstall/discovery/target_directory.hpp"

#include <algorithm>

namespace hawthornstall::discovery {

bool target_directory::announce(const target_record& record, core::time_ms now) {
    const auto found = entries_.find(record.id);
    if (found != entries_.end()) {
        const bool is_same_incarnation = found->second.record.incarnation == record.incarnation;
        if (!record.is_newer_than(found->second.record) ||
            (is_same_incarnation && found->second.has_left)) {
            return false;
        }
    }
    if (has_newer_target_at_address(record)) {
        return false;
    }
    remove_older_targets_at_address(record);
    entries_[record.id] = {.record = record, .heard_at = now, .has_left = false};
    return true;
}

// A delayed announcement of a crashed target must not replace its successor at the same address.
bool target_directory::has_newer_target_at_address(const target_record& record) const {
    return std::ranges::any_of(entries_, [&](const auto& item) {
        const auto& other = item.second.record;
        return other.address == record.address && other.id != record.id &&
               other.incarnation > record.incarnation;
    });
}

void target_directory::remove_older_targets_at_address(const target_record& record) {
    std::erase_if(entries_, [&](const auto& item) {
        const auto& other = item.second.record;
        return other.address == record.address && other.id != record.id &&
               other.incarnation < record.incarnation;
    });
}

void target_directory::leave(const target_record& record, core::time_ms now) {
    const auto found = entries_.find(record.id);
    if (found == entries_.end()) {
        entries_[record.id] = {.record = record, .heard_at = now, .has_left = true};
    } else if (found->second.record.incarnation <= record.incarnation || record.incarnation == 0) {
        found->second.heard_at = now;
        found->second.has_left = true;
    }
}

void target_directory::tick(core::time_ms now) {
    std::erase_if(entries_, [&](const auto& item) {
        return now - item.second.heard_at > target_silence_limit;
    });
}

std::vector<target_record> target_directory::targets() const {
    std::vector<target_record> known;
    for (const auto& [id, item] : entries_) {
        if (!item.has_left) {
            known.push_back(item.record);
        }
    }
    return known;
}

const target_record* target_directory::find(std::string_view id) const {
    const auto found = entries_.find(id);
    return found == entries_.end() || found->second.has_left ? nullptr : &found->second.record;
}

} // namespace hawthornstall::discovery
