#pragma once

/// Messages by which entry hosts and control hosts discover each other and the targets.

#include "hawthornstall/discovery/host_record.hpp"
#include "hawthornstall/discovery/target_record.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace hawthornstall::discovery {

/// Heartbeat of an entry host, sent about once a second to each control host that it knows.
struct host_hello {
    host_record host{};
    /// Revision up to which the sender has applied all changes of the configuration.
    std::uint64_t config_revision = 0;
};

/// Hosts that a control host knows: the entry hosts that send it hellos, the control hosts that it
/// is linked to, and itself.
struct host_list {
    std::vector<host_record> entry_hosts{};
    std::vector<std::string> control_hosts{};
};

/// Announcements and departures since the last message, or all known targets if this is the first
/// message to an entry host.
struct target_updates {
    std::vector<target_record> targets{};
    std::vector<target_record> departed{}; ///< Targets that left in an orderly way.
};

} // namespace hawthornstall::discovery
