#pragma once

/// Periodic statement of an entry host to all other entry hosts.

#include <cstdint>
#include <string>
#include <vector>

namespace hawthornstall::entry {

/// A shard that the sender serves.
struct owned_shard {
    std::string service;
    std::uint64_t epoch = 0;
    std::uint64_t generation = 0;

    bool operator==(const owned_shard&) const = default;
};

/// What the sender owns in its zone, and which configuration it runs.
struct ownership_notice {
    bool draining = false; ///< The sender is shutting down and takes no ownership.
    std::uint64_t config_revision = 0;
    std::int64_t config_age_ms = -1; ///< Age of the last confirmation; -1 before the first.
    std::vector<owned_shard> owned;

    bool operator==(const ownership_notice&) const = default;
};

} // namespace hawthornstall::entry
