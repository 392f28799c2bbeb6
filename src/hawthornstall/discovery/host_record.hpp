#pragma once

/// What an entry host says about itself.

#include <string>

namespace hawthornstall::discovery {

/// An entry host. Its name is the "ip:port" of its peer links.
struct host_record {
    std::string name{};
    std::string zone{};
    double weight = 1.0; ///< Share of a core; targets are divided in proportion to it.

    bool operator==(const host_record&) const = default;
};

} // namespace hawthornstall::discovery
