#pragma once

/// In-memory copy of the log entries after the latest snapshot, which every storage keeps.

#include "hawthornstall/control/consensus_types.hpp"

#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace hawthornstall::control {

/// Consecutive entries after a base, which is the position of the latest snapshot.
class memory_log {
public:
    [[nodiscard]] log_position base() const noexcept { return base_; }
    [[nodiscard]] log_position last() const noexcept {
        return entries_.empty() ? base_ : entries_.back().position;
    }

    /// Term of the entry at `index`; empty when the index is before the base or after the end.
    [[nodiscard]] std::optional<std::uint64_t> term_at(std::uint64_t index) const;

    /// Entries from `first` on; `first` must be after the base.
    [[nodiscard]] std::span<const log_entry> entries_from(std::uint64_t first) const;

    /// Size of the entries after `index`, as counted by entry_bytes(). `index` must not be before
    /// the base.
    [[nodiscard]] std::size_t bytes_after(std::uint64_t index) const;

    /// Members in effect once the entry at `index` is in the log.
    [[nodiscard]] const member_set& members_at(std::uint64_t index) const;

    /// Index of the latest entry that changed the members; the base's index when there is none.
    [[nodiscard]] std::uint64_t members_changed_at() const;

    /// Appends consecutive entries, after removing those from the first one's index on.
    void append(std::span<const log_entry> entries);

    /// Moves the base to a snapshot. Entries after it are kept only when the log contains the
    /// snapshot's position; otherwise they belong to a diverged log and are dropped.
    void rebase(log_position base, member_set members);

private:
    /// Adds the sizes of the last entries to `end_bytes_`.
    void measure();
    /// Size of the first `count` entries.
    [[nodiscard]] std::size_t bytes_of_first(std::size_t count) const {
        return count == 0 ? 0 : end_bytes_[count - 1];
    }

    log_position base_;
    member_set base_members_;
    std::vector<log_entry> entries_;
    std::vector<std::size_t> end_bytes_; ///< For each entry, the size of all up to and with it.
};

} // namespace hawthornstall::control
