#pragma once

/// Decides what the files of a data folder still hold after a restart. It does no I/O.

#include "hawthornstall/control/consensus_types.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace hawthornstall::control {

/// Content of the files of a data folder; empty for a missing file.
struct log_files {
    std::optional<std::string_view> snapshot;
    std::optional<std::string_view> log;
    /// Position up to which the log is known to have been synced; empty when it is unknown.
    std::optional<log_position> synced;
    std::uint64_t term = 0; ///< Term of the member's saved state.
};

/// Log of a member as far as its files hold it.
struct recovered_log {
    log_position base; ///< Of the snapshot.
    member_set members;
    std::vector<log_entry> entries;            ///< After `base`.
    std::vector<std::uint64_t> record_offsets; ///< Of `entries` in the log file.
    std::uint64_t valid_bytes = 0;             ///< Of the log file; the others are not used.
    bool has_snapshot = false;                 ///< The snapshot file is present and whole.
    bool is_synced_known = false;              ///< The files tell the synced position.
    /// The first `valid_bytes` of the log file hold exactly `entries`.
    bool matches_file = false;
    /// Last entry that the member may have confirmed to others. After last() if it is damaged.
    log_position acknowledged;
    std::string problem; ///< What is missing or not used; empty when all of the files is used.

    [[nodiscard]] log_position last() const {
        return entries.empty() ? base : entries.back().position;
    }
    /// Whether entries are missing that the member may have confirmed.
    [[nodiscard]] bool is_damaged() const { return last() < acknowledged; }
};

/// Reads the log from `files`.
///
/// Bytes after the synced position are those of a write that a loss of power has interrupted. They
/// can be of any content, and are dropped from the first record on that is not whole. A record that
/// is not whole at or before the synced position, a missing file, a damaged snapshot and a gap
/// between the files are damage. `acknowledged` is then the last position that the files show.
///
/// Without a synced position, as in the folders of earlier versions, a record that is not whole is
/// damage unless it ends as described at append_record(). Then, and without the log file,
/// `acknowledged` is after all entries of the member's terms.
[[nodiscard]] recovered_log recover_log(const log_files& files);

} // namespace hawthornstall::control
