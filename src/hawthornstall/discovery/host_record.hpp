#pragma once

/// Description of an entry host, as it sends it to the control hosts.

#include <string>

namespace hawthornstall::discovery {

/// Entry host. Its name is the "ip:port" of its peer links.
struct host_record {
    std::string name{};
    std::string zone{};
    double weight = 1.0; ///< Share of a core; targets are assigned in proportion to it.

    bool operator==(const host_record&) const = default;
};

} // namespace hawthornstall::discovery
