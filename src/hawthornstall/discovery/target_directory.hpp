#pragma once

/// Targets known on one host, built from announcements that arrive in any order.

#include "hawthornstall/core/ms_clock.hpp"
#include "hawthornstall/discovery/target_record.hpp"

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

    std::map<std::string, entry, std::less<>> entries_;
};

} // namespace hawthornstall::discovery
