#pragma once

/// Membership, timing and batching of the replicated configuration log.

#include "hawthornstall/core/ms_clock.hpp"

#include <cstddef>
#include <string>
#include <vector>

namespace hawthornstall::control {

/// Settings of one member. All members of a cluster must use the same settings.
struct consensus_settings {
    std::vector<std::string> hosts; ///< Control hosts that create a cluster and may join it.
    bool may_create_cluster = true; ///< Whether this host may create a cluster.
    bool accept_unlisted = false;   ///< Whether hosts outside `hosts` may join as well.
    /// Heartbeat interval, a fifth of the election timeout.
    core::duration_ms heartbeat_every{200};
    /// A follower that hears no leader waits for this time, plus a random time of up to the same
    /// length, before it starts an election. A member that has not seen a leader since its start
    /// waits for a quarter of it instead. Unsuccessful elections back off up to twice the timeout.
    core::duration_ms election_timeout{1'000};
    /// A voter that has not replied to the leader for this time may be removed. It is short, so
    /// that the majority is adapted before another host is lost, and longer than the election
    /// timeout, after which a leader without a majority has stepped down.
    core::duration_ms remove_silent_after{2'000};
    /// Interval at which a host that is not a member repeats its join request.
    core::duration_ms join_every{1'000};
    /// Entries or a snapshot, of up to 50 MB, are sent again after this time if the member answers
    /// nothing, and at once if it answers a later message instead. A shorter time would queue them
    /// twice on a slow link.
    core::duration_ms resend_after{10'000};
    std::size_t max_entries_per_append = 256;
    /// Limit on the entries of an append request, as counted by entry_bytes(). The first entry is
    /// sent whatever its size. Heartbeats wait behind the request on the same connection: 1 MiB
    /// takes 9 ms at 1 Gbit/s.
    std::size_t max_bytes_per_append = std::size_t{1} * 1024 * 1024;
    /// The log is compacted into a snapshot once it holds this many committed entries, or entries
    /// of this size, as counted by entry_bytes().
    std::size_t compact_after_entries = 1'000;
    std::size_t compact_after_bytes = std::size_t{8} * 1024 * 1024;
    /// A leader accepts no change while uncommitted entries exceed this size. Together with the
    /// limit above it bounds the log in memory and on disk.
    std::size_t max_uncommitted_bytes = std::size_t{16} * 1024 * 1024;
};

} // namespace hawthornstall::control
