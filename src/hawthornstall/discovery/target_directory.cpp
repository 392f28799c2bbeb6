#include "hawthornstall/discovery/target_directory.hpp"

#include <algorithm>
#include <utility>

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
    set({.record = record, .heard_at = now, .has_left = false});
    return true;
}

void target_directory::set(entry item) {
    auto& known = entries_[item.record.id];
    if (known.record.address != item.record.address) {
        forget_address(known.record);
        ids_at_address_[item.record.address].push_back(item.record.id);
    }
    known = std::move(item);
}

void target_directory::forget_address(const target_record& record) {
    const auto found = ids_at_address_.find(record.address);
    if (found != ids_at_address_.end() && std::erase(found->second, record.id) > 0 &&
        found->second.empty()) {
        ids_at_address_.erase(found);
    }
}

template <std::predicate<const target_directory::entry&> IsObsolete>
void target_directory::remove_if(IsObsolete is_obsolete) {
    for (auto position = entries_.begin(); position != entries_.end();) {
        if (is_obsolete(position->second)) {
            forget_address(position->second.record);
            position = entries_.erase(position);
        } else {
            ++position;
        }
    }
}

// A delayed announcement of a crashed target must not replace its successor at the same address.
bool target_directory::has_newer_target_at_address(const target_record& record) const {
    const auto found = ids_at_address_.find(record.address);
    return found != ids_at_address_.end() &&
           std::ranges::any_of(found->second, [&](const std::string& id) {
               const auto& other = entries_.at(id).record;
               return id != record.id && other.incarnation > record.incarnation;
           });
}

void target_directory::remove_older_targets_at_address(const target_record& record) {
    const auto found = ids_at_address_.find(record.address);
    if (found == ids_at_address_.end()) {
        return;
    }
    std::erase_if(found->second, [&](const std::string& id) {
        const auto other = entries_.find(id);
        const bool is_older =
            id != record.id && other->second.record.incarnation < record.incarnation;
        if (is_older) {
            entries_.erase(other);
        }
        return is_older;
    });
    if (found->second.empty()) {
        ids_at_address_.erase(found);
    }
}

void target_directory::leave(const target_record& record, core::time_ms now) {
    const auto found = entries_.find(record.id);
    if (found == entries_.end()) {
        set({.record = record, .heard_at = now, .has_left = true});
    } else if (found->second.record.incarnation <= record.incarnation || record.incarnation == 0) {
        found->second.heard_at = now;
        found->second.has_left = true;
    }
}

void target_directory::tick(core::time_ms now) {
    remove_if([&](const entry& item) { return now - item.heard_at > target_silence_limit; });
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
