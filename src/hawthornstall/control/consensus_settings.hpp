#pragma once

/// Timing and batching of the configuration log.

#include "hawthornstall/core/ms_clock.hpp"

#include <cstddef>
#include <string>
#include <vector>

namespace hawthornstall::control {

/// Settings of one member. All members of a cluster use the same ones.
struct consensus_settings {
    std::vector<std::string> hosts;         ///< Control hosts that may join, and found a cluster.
    bool may_found = true;                  ///< False: joins an existing cluster only.
    bool accept_unlisted = false;           ///< Hosts that are not among `hosts` may join as well.
    core::duration_ms heartbeat_every{200}; ///< Five are lost before an election starts.
    /// A follower waits for this long, plus a random part of the same length, before an election.
    core::duration_ms election_timeout{1'000};
    core::duration_ms join_every{1'000};
    /// An unanswered append is sent again after this; a synced write takes several ms.
    core::duration_ms resend_after{500};
    /// An unanswered snapshot, of up to 50 MB, is sent again after this.
    core::duration_ms resend_snapshot_after{10'000};
    std::size_t max_entries_per_append = 256;
    std::size_t compact_after_entries = 1'000;
};

} // namespace hawthornstall::control
