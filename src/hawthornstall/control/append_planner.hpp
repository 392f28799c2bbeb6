#pragma once

/// Decides what a leader sends to one member next.

#include "hawthornstall/control/consensus_messages.hpp"
#include "hawthornstall/control/consensus_settings.hpp"
#include "hawthornstall/control/memory_log.hpp"
#include "hawthornstall/control/replication_progress.hpp"

#include <optional>
#include <variant>

namespace hawthornstall::control {

/// What all members are told in one header.
struct append_header {
    std::uint64_t term = 0;
    std::uint64_t commit = 0;
    std::uint64_t round = 0;
    std::optional<core::duration_ms> quorum_age;
};

/// The member's next entries are compacted away; send the latest snapshot.
struct snapshot_needed {};

/// Next message to the member, which is noted in `progress`; empty when nothing is due.
[[nodiscard]] std::optional<std::variant<append_request, snapshot_needed>>
plan_append(const append_header& header, const memory_log& log, const consensus_settings& settings,
            member_progress& progress, core::time_ms now);

/// Notes a member's reply.
void record_reply(const append_reply& reply, member_progress& progress);

} // namespace hawthornstall::control
