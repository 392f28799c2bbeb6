#pragma once

/// One host's view of the targets of its zone, merged from all sources.

#include "hawthornstall/membership/registry_rules.hpp"

#include <algorithm>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <utility>

namespace hawthornstall::membership {

/// What a host knows of one target.
struct target_entry {
    core::target_announcement
        announcement;          ///< Latest announcement; later renewals only raise `latest`.
    target_stamp latest;       ///< Stamp of `announcement`, or a larger one after renewals.
    core::time_ms lease_end{}; ///< On the local clock.

    /// Whether the target may receive new work.
    [[nodiscard]] bool is_usable(core::time_ms now) const {
        return !announcement.leaving && now < lease_end;
    }
};

/// Result of applying an announcement to a view.
enum class apply_result : std::uint8_t {
    newer, ///< It replaced the known announcement.
    same,  ///< Its stamp was already known.
    older, ///< A later one is known, so it was ignored.
};

/// Keeps the latest announcement of each target, in the order that the rules define.
template <target_rules Rules> class target_view {
public:
    using map = std::map<std::string, target_entry, std::less<>>;

    /// Applies an announcement. A newer one starts without a lease; renew() grants it.
    apply_result apply(const core::target_announcement& announcement, core::time_ms now) {
        const auto stamp = stamp_of(announcement);
        auto found = entries_.find(announcement.name);
        if (found == entries_.end()) {
            entries_.emplace(announcement.name, target_entry{announcement, stamp, now});
            return apply_result::newer;
        }
        auto& entry = found->second;
        if (stamp == entry.latest) {
            // This host may know the stamp from a renewal only. Another host has published the
            // announcement with it, so its content and stamp are taken.
            entry.announcement = announcement;
            return apply_result::same;
        }
        if (!Rules::supersedes(stamp, entry.latest)) {
            return apply_result::older;
        }
        entry = target_entry{announcement, stamp, now};
        return apply_result::newer;
    }

    /// Records the stamp of a renewal of the known announcement.
    void advance(std::string_view name, target_stamp latest) {
        if (const auto found = entries_.find(name); found != entries_.end()) {
            found->second.latest = std::max(found->second.latest, latest);
        }
    }

    /// Sets the known announcement's sequence to the latest one, so that this host can publish it
    /// again.
    void adopt_latest_stamp(std::string_view name) {
        if (const auto found = entries_.find(name); found != entries_.end()) {
            found->second.announcement.sequence = found->second.latest.sequence;
        }
    }

    /// Extends the lease of the announcement with `stamp` to its lease time, less `margin`, after
    /// `announced` on the local clock. Ignored if another announcement of the target is known.
    void renew(std::string_view name, target_stamp stamp, core::time_ms announced,
               core::duration_ms margin) {
        const auto found = entries_.find(name);
        if (found != entries_.end() && stamp_of(found->second.announcement) == stamp) {
            auto& entry = found->second;
            const auto lease = std::min(entry.announcement.lease, max_lease);
            entry.lease_end = std::max(entry.lease_end, announced + lease - margin);
        }
    }

    /// Entry of `name`, or nullptr.
    [[nodiscard]] const target_entry* find(std::string_view name) const {
        const auto found = entries_.find(name);
        return found == entries_.end() ? nullptr : &found->second;
    }

    [[nodiscard]] const map& entries() const noexcept { return entries_; }

    /// Drops targets that left or whose lease expired: after the retention time, and the oldest
    /// ones beyond max_unusable.
    void drop_unusable(core::time_ms now) {
        std::size_t unusable = 0;
        std::erase_if(entries_, [&](const auto& item) {
            const auto& entry = item.second;
            const bool is_unusable = !entry.is_usable(now);
            const bool is_old = is_unusable && now - entry.lease_end >= Rules::retention();
            unusable += is_unusable && !is_old ? 1 : 0;
            return is_old;
        });
        for (; unusable > max_unusable; --unusable) {
            const auto oldest = std::min_element(
                entries_.begin(), entries_.end(), [&](const auto& a, const auto& b) {
                    return std::pair{a.second.is_usable(now), a.second.lease_end} <
                           std::pair{b.second.is_usable(now), b.second.lease_end};
                });
            entries_.erase(oldest);
        }
    }

private:
    map entries_;
};

} // namespace hawthornstall::membership
