#pragma once

/// The targets known on one host, merged from announcements that arrive in any order.

#include "hawthornstall/core/ms_clock.hpp"
#include "hawthornstall/discovery/target_record.hpp"

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace hawthornstall::discovery {

/// A target without an announcement for this long is forgotten. It is longer than an outage of all
/// control hosts, during which no announcement arrives.
constexpr core::duration_ms target_silence_limit{30'000};

/// Pure; an older announcement never replaces a newer one.
class target_roster {
public:
    /// Takes an announcement. Returns whether it is news.
    bool announce(const target_record& record, core::time_ms now);

    /// Takes the end of one life of a target. Delayed announcements of it are ignored from now on.
    void leave(const target_record& record, core::time_ms now);

    /// Forgets targets that have been silent for too long.
    void tick(core::time_ms now);

    /// The known targets, sorted by id.
    [[nodiscard]] std::vector<target_record> targets() const;

    [[nodiscard]] const target_record* find(std::string_view id) const;

private:
    struct entry {
        target_record record;
        core::time_ms heard{};
        bool left = false;
    };

    [[nodiscard]] bool address_has_newer_owner(const target_record& record) const;
    void remove_older_at_address(const target_record& record);

    std::map<std::string, entry, std::less<>> entries_;
};

} // namespace hawthornstall::discovery
