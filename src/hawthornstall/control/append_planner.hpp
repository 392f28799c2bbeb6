#pragma once

/// Decides which append request or snapshot a leader sends to a member next.

#include "hawthornstall/control/consensus_messages.hpp"
#include "hawthornstall/control/consensus_settings.hpp"
#include "hawthornstall/control/memory_log.hpp"
#include "hawthornstall/control/replication_progress.hpp"

#include <optional>
#include <variant>

namespace hawthornstall::control {

/// Fields that the append requests to all members have in common.
struct append_header {
    std::uint64_t term = 0;
    std::uint64_t commit = 0;
    std::uint64_t round = 0;
    std::optional<core::duration_ms> confirmation_age;
    /// Whether a snapshot may be sent. A leader sends one at a time, because each copy of a large
    /// state takes its full size in memory and on the link.
    bool may_send_snapshot = true;
};

/// The member's next entries have been compacted, so it needs the latest snapshot.
struct snapshot_needed {};

/// Next message to a member; empty when none is due. Updates `progress` as if it had been sent.
[[nodiscard]] std::optional<std::variant<append_request, snapshot_needed>>
plan_append(const append_header& header, const memory_log& log, const consensus_settings& settings,
            member_progress& progress, core::time_ms now);

/// Updates `progress` after a reply of the member.
void record_reply(const append_reply& reply, member_progress& progress);

} // namespace hawthornstall::control
