#pragma once

/// One host's knowledge of the targets of its zone, joined from all sources.

#include "hawthornstall/membership/registry_rules.hpp"

#include <algorithm>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <utility>

namespace hawthornstall::membership {

/// Latest news of one target.
struct target_entry {
    core::target_announcement news;
    target_stamp latest;       ///< At least the stamp of `news`; larger after mere renewals.
    core::time_ms lease_end{}; ///< Local clock.

    /// Whether the target may receive new work.
    [[nodiscard]] bool is_usable(core::time_ms now) const {
        return !news.leaving && now < lease_end;
    }
};

/// Result of offering news to a view.
enum class news_result : std::uint8_t {
    newer, ///< The news replaced what was known.
    same,  ///< Its stamp was known already.
    older, ///< Ignored.
};

/// Keeps the latest news of each target, in the order given by the rules.
template <target_rules Rules> class target_view {
public:
    using map = std::map<std::string, target_entry, std::less<>>;

    /// Offers an announcement. Newer news starts without a lease; renew() grants it.
    news_result apply(const core::target_announcement& news, core::time_ms now) {
        const auto stamp = stamp_of(news);
        auto found = entries_.find(news.name);
        if (found == entries_.end()) {
            entries_.emplace(news.name, target_entry{news, stamp, now});
            return news_result::newer;
        }
        auto& entry = found->second;
        if (stamp == entry.latest) {
            // Another host published the announcement that was a mere renewal here.
            entry.news = news;
            return news_result::same;
        }
        if (!Rules::supersedes(stamp, entry.latest)) {
            return news_result::older;
        }
        entry = target_entry{news, stamp, now};
        return news_result::newer;
    }

    /// Takes the stamp of a mere renewal of the known news.
    void advance(std::string_view name, target_stamp latest) {
        if (const auto found = entries_.find(name); found != entries_.end()) {
            found->second.latest = std::max(found->second.latest, latest);
        }
    }

    /// Gives the known news the latest stamp, for a host that publishes it anew.
    void restamp(std::string_view name) {
        if (const auto found = entries_.find(name); found != entries_.end()) {
            found->second.news.sequence = found->second.latest.sequence;
        }
    }

    /// Extends the lease of the news with `stamp` that was announced at `announced`, on the local
    /// clock, by its lease less `margin`. Ignored when the view knows other news.
    void renew(std::string_view name, target_stamp stamp, core::time_ms announced,
               core::duration_ms margin) {
        const auto found = entries_.find(name);
        if (found != entries_.end() && stamp_of(found->second.news) == stamp) {
            auto& entry = found->second;
            const auto lease = std::min(entry.news.lease, max_lease);
            entry.lease_end = std::max(entry.lease_end, announced + lease - margin);
        }
    }

    /// Entry of `name`, or nullptr.
    [[nodiscard]] const target_entry* find(std::string_view name) const {
        const auto found = entries_.find(name);
        return found == entries_.end() ? nullptr : &found->second;
    }

    [[nodiscard]] const map& entries() const noexcept { return entries_; }

    /// Forgets departed targets after the retention time, and the oldest ones beyond the limit.
    void forget_departed(core::time_ms now) {
        std::size_t departed = 0;
        std::erase_if(entries_, [&](const auto& item) {
            const auto& entry = item.second;
            const bool is_departed = !entry.is_usable(now);
            const bool is_old = is_departed && now - entry.lease_end >= Rules::retention();
            departed += is_departed && !is_old ? 1 : 0;
            return is_old;
        });
        for (; departed > max_departed; --departed) {
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
