#pragma once

/// Destination of the answer to a job.

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

/// Entry host that forwarded a job to its owner, and the job's number there. The dispatcher also
/// forwards to itself, when this host is the owner.
struct forwarding_host {
    std::string host;
    std::uint64_t number = 0; ///< Number of the job in the forward_table of `host`.

    auto operator<=>(const forwarding_host&) const = default;
};

/// Destination of an answer: a local_caller in the forward_table, a forwarding_host in a shard.
using reply_address = std::variant<local_caller, forwarding_host>;

} // namespace hawthornstall::entry
