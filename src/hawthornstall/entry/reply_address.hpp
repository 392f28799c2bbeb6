#pragma once

/// Where the answer to a job goes.

#include <compare>
#include <cstdint>
#include <string>
#include <variant>

namespace hawthornstall::entry {

/// A caller's open request on one of this host's front ends.
struct local_caller {
    std::size_t front_end = 0;
    std::uint64_t request = 0;

    auto operator<=>(const local_caller&) const = default;
};

/// A job that another entry host forwarded.
struct forwarding_host {
    std::string host;
    std::uint64_t number = 0; ///< The forwarding host's own number of the job.

    auto operator<=>(const forwarding_host&) const = default;
};

using reply_address = std::variant<local_caller, forwarding_host>;

} // namespace hawthornstall::entry
