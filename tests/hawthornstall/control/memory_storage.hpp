#pragma once

/// Storage on a simulated disk that survives a simulated crash.

#include "hawthornstall/control/log_storage.hpp"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <utility>

namespace hawthornstall::control {

/// Deliberate faults of a storage, for the tests of the invariant checks.
struct storage_faults {
    bool ignores_sync = false; ///< Acknowledges entries that a crash loses.
    bool loses_votes = false;  ///< A crash loses term and vote.
    /// Takes the end of a damaged log for the last acknowledged entry.
    bool forgets_acknowledged = false;
};

/// State that survives a simulated crash.
struct memory_disk {
    hard_state state;
    memory_log log;
    log_snapshot snapshot;
    storage_faults faults;
    log_position acknowledged{}; ///< Last entry that was synced, also after damage.

    /// Loses the synced entries after `last`, as a damaged disk does.
    void lose_entries_after(std::uint64_t last) {
        const auto entries = log.entries_from(log.base().index + 1);
        const auto kept = std::min<std::size_t>(
            entries.size(), last > log.base().index ? last - log.base().index : 0);
        memory_log damaged;
        damaged.rebase(log.base(), log.members_at(log.base().index));
        damaged.append(entries.first(kept));
        log = std::move(damaged);
    }

    /// Loses the log and the snapshot.
    void lose_all_entries() {
        log = memory_log{};
        snapshot = log_snapshot{};
    }

    [[nodiscard]] bool has_lost_entries() const { return log.last() < acknowledged; }
};

/// Storage on a simulated disk. A new storage on the same disk has the state after a crash.
class memory_storage {
public:
    explicit memory_storage(std::shared_ptr<memory_disk> disk)
        : disk_(std::move(disk)), state_(disk_->state), log_(disk_->log) {}

    [[nodiscard]] const hard_state& state() const { return state_; }
    [[nodiscard]] const memory_log& log() const { return log_; }
    [[nodiscard]] log_position acknowledged() const {
        return disk_->faults.forgets_acknowledged ? log_.last()
                                                  : std::max(disk_->acknowledged, log_.last());
    }
    [[nodiscard]] absl::StatusOr<log_snapshot> load_snapshot() const { return disk_->snapshot; }

    [[nodiscard]] absl::Status save_state(const hard_state& state) {
        state_ = state;
        const auto term = disk_->state.term;
        disk_->state = state;
        if (disk_->faults.loses_votes) {
            disk_->state.term = term;
            disk_->state.voted_for.reset();
        }
        return absl::OkStatus();
    }

    [[nodiscard]] absl::Status append(std::span<const log_entry> entries) {
        log_.append(entries);
        return absl::OkStatus();
    }

    [[nodiscard]] absl::Status sync() {
        if (!disk_->faults.ignores_sync) {
            disk_->log = log_;
            disk_->acknowledged = std::max(disk_->acknowledged, log_.last());
        }
        return absl::OkStatus();
    }

    [[nodiscard]] absl::Status install(const log_snapshot& snapshot) {
        log_.rebase(snapshot.position, snapshot.members);
        disk_->log.rebase(snapshot.position, snapshot.members);
        disk_->snapshot = snapshot;
        const bool has_lost_entries = disk_->log.last() < disk_->acknowledged;
        disk_->acknowledged = has_lost_entries ? disk_->acknowledged : disk_->log.last();
        return absl::OkStatus();
    }

private:
    std::shared_ptr<memory_disk> disk_;
    hard_state state_;
    memory_log log_;
};

static_assert(log_storage<memory_storage>);

} // namespace hawthornstall::control
