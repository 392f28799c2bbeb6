#include "hawthornstall/discovery/target_roster.hpp"

#include <algorithm>

namespace hawthornstall::discovery {

bool target_roster::announce(const target_record& record, core::time_ms now) {
    const auto found = entries_.find(record.id);
    if (found != entries_.end()) {
        const bool same_life = found->second.record.incarnation == record.incarnation;
        if (!record.is_newer_than(found->second.record) || (same_life && found->second.left)) {
            return false;
        }
    }
    if (address_has_newer_owner(record)) {
        return false;
    }
    remove_older_at_address(record);
    entries_[record.id] = {.record = record, .heard = now, .left = false};
    return true;
}

/// A delayed announcement of a crashed target must not hide its successor at the same address.
bool target_roster::address_has_newer_owner(const target_record& record) const {
    return std::ranges::any_of(entries_, [&](const auto& item) {
        const auto& other = item.second.record;
        return other.address == record.address && other.id != record.id &&
               other.incarnation > record.incarnation;
    });
}

void target_roster::remove_older_at_address(const target_record& record) {
    std::erase_if(entries_, [&](const auto& item) {
        const auto& other = item.second.record;
        return other.address == record.address && other.id != record.id &&
               other.incarnation < record.incarnation;
    });
}

void target_roster::leave(const target_record& record, core::time_ms now) {
    const auto found = entries_.find(record.id);
    if (found == entries_.end()) {
        entries_[record.id] = {.record = record, .heard = now, .left = true};
    } else if (found->second.record.incarnation <= record.incarnation || record.incarnation == 0) {
        found->second.heard = now;
        found->second.left = true;
    }
}

void target_roster::tick(core::time_ms now) {
    std::erase_if(entries_,
                  [&](const auto& item) { return now - item.second.heard > target_silence_limit; });
}

std::vector<target_record> target_roster::targets() const {
    std::vector<target_record> known;
    for (const auto& [id, item] : entries_) {
        if (!item.left) {
            known.push_back(item.record);
        }
    }
    return known;
}

const target_record* target_roster::find(std::string_view id) const {
    const auto found = entries_.find(id);
    return found == entries_.end() || found->second.left ? nullptr : &found->second.record;
}

} // namespace hawthornstall::discovery
