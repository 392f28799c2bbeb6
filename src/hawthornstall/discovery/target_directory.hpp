#pragma once

/// Targets known on one host, built from announcements that arrive in any order.

#include "hawthornstall/core/ms_clock.hpp"
#include "hawthornstall/discovery/target_record.hpp"

#include <concepts>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace hawthornstall::discovery {

/// Time without an announcement after which a target is dropped. It is longer than an outage of all
/// control hosts, during which no announcement arrives.
constexpr core::duration_ms target_silence_limit{30'000};

/// Latest announcement of each target; an older one never replaces a newer one. Does no I/O.
class target_directory {
public:
    /// Applies an announcement. Returns false if it is outdated and was ignored.
    bool announce(const target_record& record, core::time_ms now);

    /// Records that an incarnation of a target has left. Delayed announcements of that incarnation
    /// are ignored from now on.
    void leave(const target_record& record, core::time_ms now);

    /// Drops targets that have not announced themselves for target_silence_limit.
    void tick(core::time_ms now);

    /// Targets that have not left, sorted by id.
    [[nodiscard]] std::vector<target_record> targets() const;

    /// Calls `visit` with each target that has not left, sorted by id.
    template <std::invocable<const target_record&> Visit> void for_each(Visit visit) const {
        for (const auto& [id, item] : entries_) {
            if (!item.has_left) {
                visit(item.record);
            }
        }
    }

    /// Latest announcement of a target that has not left, or nullptr.
    [[nodiscard]] const target_record* find(std::string_view id) const;

private:
    struct entry {
        target_record record;
        core::time_ms heard_at{};
        bool has_left = false;
    };

    /// Whether another target with a later incarnation has the address of `record`.
    [[nodiscard]] bool has_newer_target_at_address(const target_record& record) const;
    /// Drops other targets at the address of `record` with an earlier incarnation: their process
    /// has ended.
    void remove_older_targets_at_address(const target_record& record);

    /// Replaces what is known about a target.
    void set(entry item);
    /// Removes the targets for which `is_obsolete` holds.
    template <std::predicate<const entry&> IsObsolete> void remove_if(IsObsolete is_obsolete);
    void forget_address(const target_record& record);

    std::map<std::string, entry, std::less<>> entries_; ///< By id.
    /// Ids of the targets at each address: mostly one, and its predecessors until they are dropped.
    std::map<std::string, std::vector<std::string>, std::less<>> ids_at_address_;
};

} // namespace hawthornstall::discovery
