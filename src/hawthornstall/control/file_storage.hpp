#pragma once

/// Durable storage of one member in a folder of its own.

#include "hawthornstall/control/data_files.hpp"
#include "hawthornstall/control/log_recovery.hpp"
#include "hawthornstall/control/log_storage.hpp"
#include "hawthornstall/control/synced_position_file.hpp"

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace hawthornstall::control {

/// Files: `state` (identity, term and vote), `snapshot` (latest one), `log` (entries after it) and
/// `synced` (position up to which the log has been synced).
///
/// What follows the synced position and is not whole is truncated, because it was never
/// acknowledged. When the log does not reach the synced position, the member has lost entries that
/// it may have confirmed. It keeps its identity, term and vote and the entries before the loss, and
/// acknowledged() tells how far its log has reached. The damaged files are kept as `log.damaged`
/// and `snapshot.damaged` until the next damage. A damaged `state` is a lost vote: open() fails.
///
/// Appended entries are written by sync(), in one write: of several writes without a sync between
/// them, a power loss can keep a later one and lose an earlier one, which is damage.
template <file_operations Files> class basic_file_storage {
public:
    using file = typename Files::file;

    /// Opens `folder`, which must exist. A folder without files becomes that of a new member
    /// {host, new_storage_id}; `new_storage_id` must be random and not 0. Errors: kDataLoss when
    /// the state file is damaged or missing, kFailedPrecondition for the folder of another host or
    /// of another process, kUnavailable when an operation of the file system fails.
    [[nodiscard]] static absl::StatusOr<basic_file_storage> open(const std::string& folder,
                                                                 std::string_view host,
                                                                 std::uint64_t new_storage_id,
                                                                 Files files = {});

    [[nodiscard]] const hard_state& state() const { return state_; }
    [[nodiscard]] const memory_log& log() const { return log_; }
    [[nodiscard]] log_position acknowledged() const { return std::max(synced_, log_.last()); }
    /// What open() has found damaged or has truncated; empty when all was whole.
    [[nodiscard]] const std::string& problem() const noexcept { return problem_; }
    /// Whether entries are missing that this member may have confirmed.
    [[nodiscard]] bool has_lost_entries() const { return log_.last() < synced_; }
    [[nodiscard]] absl::StatusOr<log_snapshot> load_snapshot() const;
    [[nodiscard]] absl::Status save_state(const hard_state& state);
    [[nodiscard]] absl::Status append(std::span<const log_entry> entries);
    [[nodiscard]] absl::Status sync();
    [[nodiscard]] absl::Status install(const log_snapshot& snapshot);

private:
    basic_file_storage(std::string folder, Files files)
        : files_(std::move(files)), folder_(std::move(folder)) {}

    [[nodiscard]] absl::Status load(std::string_view host, std::uint64_t new_storage_id);
    [[nodiscard]] absl::Status create(std::string_view host, std::uint64_t new_storage_id);
    [[nodiscard]] absl::Status load_state(std::string_view bytes, std::string_view host);
    [[nodiscard]] absl::Status load_log(const std::optional<std::string>& snapshot,
                                        const std::optional<std::string>& log,
                                        const std::optional<std::string>& synced);
    [[nodiscard]] absl::Status start_empty(const std::optional<std::string>& synced);
    void keep_damaged(const std::string& name, const std::optional<std::string>& bytes);
    [[nodiscard]] absl::Status repair_files(const recovered_log& recovered,
                                            std::size_t log_file_bytes);
    [[nodiscard]] absl::Status open_log();
    [[nodiscard]] absl::Status open_synced(const std::optional<std::string>& content);
    [[nodiscard]] absl::Status lower_synced(const log_position& last);
    [[nodiscard]] absl::Status raise_synced();
    [[nodiscard]] absl::Status rewrite_log();
    [[nodiscard]] absl::Status damage_error(std::string_view problem) const;
    void encode_entries(std::span<const log_entry> entries, std::string& bytes);
    [[nodiscard]] absl::Status replace(const std::string& name, std::string_view bytes);

    Files files_;
    std::string folder_;
    file lock_;
    file log_file_;
    synced_position_file<Files> synced_file_;
    hard_state state_;
    memory_log log_;
    log_position synced_; ///< As in the file; after the last entry when entries were lost.
    std::string problem_;
    std::deque<std::uint64_t> record_offsets_; ///< Of each entry of `log_` in the log file.
    std::uint64_t log_bytes_ = 0;              ///< Written to the log file.
    std::string unwritten_;                    ///< Records that follow them.
};

/// Storage on the file system of the host.
using file_storage = basic_file_storage<posix_files>;

extern template class basic_file_storage<posix_files>;

static_assert(log_storage<file_storage>);

/// Result of open_or_replace.
struct opened_storage {
    file_storage storage;
    std::string damage; ///< Which file was damaged, and how; empty when there was none.
    /// Where the damaged folder, or the copies of its damaged files, are kept.
    std::string damaged_folder;
    std::string truncation; ///< Which tail of the log was torn; empty when there was none.
};

/// Opens `parent`/config as file_storage::open does, creating it when it is missing. A folder whose
/// vote is lost is moved to `parent`/config.damaged-`wall_now`, which replaces earlier ones, and
/// followed by that of a new member, so that this host rejoins as a learner and cannot vote without
/// the state that it has lost. Such a host never takes part in the creation of a cluster.
[[nodiscard]] absl::StatusOr<opened_storage> open_or_replace(const std::string& parent,
                                                             std::string_view host,
                                                             std::uint64_t new_storage_id,
                                                             core::time_ms wall_now);

} // namespace hawthornstall::control
