#pragma once

/// Control host's side of discovery: forwards the announcements of targets to the entry hosts.

#include "hawthornstall/discovery/messages.hpp"
#include "hawthornstall/discovery/target_directory.hpp"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace hawthornstall::discovery {

/// Interval of target_updates messages; announcements in between are sent together.
constexpr core::duration_ms update_interval{100};

/// Interval of host_list messages while the hosts don't change.
constexpr core::duration_ms host_list_interval{1'000};

/// Message for one entry host.
struct relay_message {
    std::string host;
    std::variant<host_list, target_updates> content;
};

/// State machine without I/O. Messages are not resent: a lost announcement is replaced by the next
/// one of the same target.
class announcement_relay {
public:
    /// Records an entry host that sent a hello. A new or changed one is sent all targets.
    void hello(const host_record& host);
    /// Removes an entry host that can't be reached.
    void unreachable(std::string_view host);
    /// Handles an announcement of a target.
    void announce(const target_record& record, core::time_ms now);
    /// Handles the departure of an incarnation of a target; 0 stands for the latest one. A late
    /// departure of an earlier incarnation than the known one is ignored.
    void leave(std::string_view id, std::uint64_t incarnation, core::time_ms now);

    /// Messages that are due at `now`. `control_hosts` are this host and those linked to it.
    [[nodiscard]] std::vector<relay_message> tick(core::time_ms now,
                                                  const std::vector<std::string>& control_hosts);

    /// Reachable entry hosts by name.
    [[nodiscard]] const std::map<std::string, host_record, std::less<>>& hosts() const noexcept {
        return hosts_;
    }

    [[nodiscard]] const target_directory& directory() const noexcept { return directory_; }

private:
    [[nodiscard]] host_list make_host_list(const std::vector<std::string>& control_hosts) const;

    std::map<std::string, host_record, std::less<>> hosts_;
    std::set<std::string, std::less<>> new_hosts_; ///< Have not been sent all targets yet.
    target_directory directory_;
    target_updates pending_; ///< Announcements and departures to send with the next messages.
    bool host_list_changed_ = false;
    core::time_ms update_due_{};
    core::time_ms host_list_due_{};
};

} // namespace hawthornstall::discovery
