#pragma once

/// Requirements of the consensus node on its storage.

#include "hawthornstall/control/memory_log.hpp"

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <concepts>
#include <span>

namespace hawthornstall::control {

/// Storage of one member. After an error the member must stop: it no longer knows what is durable.
///
/// - `state()`, `log()`: the latest written values, durable or not.
/// - `save_state(state)`: durable on return.
/// - `append(entries)`: as memory_log::append; durable after the next `sync()`.
/// - `install(snapshot)`: durable on return; the log follows memory_log::rebase.
/// - `acknowledged()`: last entry that the member may have confirmed to others. After the last
/// entry
///   of the log once damage has destroyed synced entries, and until the log reaches it again.
/// - `load_snapshot()`: the latest installed snapshot; empty default when there is none.
template <class Storage>
concept log_storage = std::movable<Storage> &&
    requires(Storage storage, const Storage& reader, const hard_state& state,
             std::span<const log_entry> entries, const log_snapshot& snapshot) {
    { reader.state() } -> std::same_as<const hard_state&>;
    { reader.log() } -> std::same_as<const memory_log&>;
    { reader.acknowledged() } -> std::same_as<log_position>;
    { reader.load_snapshot() } -> std::same_as<absl::StatusOr<log_snapshot>>;
    { storage.save_state(state) } -> std::same_as<absl::Status>;
    { storage.append(entries) } -> std::same_as<absl::Status>;
    { storage.sync() } -> std::same_as<absl::Status>;
    { storage.install(snapshot) } -> std::same_as<absl::Status>;
};

} // namespace hawthornstall::control
