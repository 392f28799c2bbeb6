#pragma once

/// Heartbeat of an entry host to all other entry hosts, with the shards that it owns.

#include <cstdint>
#include <string>
#include <vector>

namespace hawthornstall::entry {

/// A shard of the sender's zone that the sender owns; it may be draining.
struct owned_shard {
    std::string service;
    std::uint64_t epoch = 0;
    std::uint64_t generation = 0;

    bool operator==(const owned_shard&) const = default;
};

/// Shards that the sender owns in its zone, and the configuration that it has applied.
struct ownership_notice {
    bool draining = false; ///< The sender is shutting down and takes no ownership.
    std::uint64_t config_revision = 0;
    std::int64_t config_age_ms = -1; ///< Time since its last confirmation; -1 before the first.
    std::vector<owned_shard> owned;

    bool operator==(const ownership_notice&) const = default;
};

} // namespace hawthornstall::entry
