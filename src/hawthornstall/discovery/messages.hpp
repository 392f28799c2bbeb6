#pragma once

/// Messages by which entry hosts and control hosts find each other and the targets.

#include "hawthornstall/discovery/host_record.hpp"
#include "hawthornstall/discovery/target_record.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace hawthornstall::discovery {

/// Sent by each entry host to each control host that it knows, about once a second.
struct host_hello {
    host_record host{};
    /// Revision of the configuration up to which the sender has applied every change.
    std::uint64_t config_revision = 0;
};

/// The hosts that a control host hears from.
struct host_list {
    std::vector<host_record> entry_hosts{};
    std::vector<std::string> control_hosts{};
};

/// Announcements since the last message, or all known targets for a new listener.
struct target_news {
    std::vector<target_record> targets{};
    std::vector<target_record> left{}; ///< Targets that ended as planned.
};

} // namespace hawthornstall::discovery
