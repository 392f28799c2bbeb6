#include "hawthornstall/control/file_storage.hpp"

#include "hawthornstall/control/consensus_layouts.hpp"
#include "hawthornstall/control/record_format.hpp"
#include "hawthornstall/core/error.hpp"
#include "hawthornstall/wire/codec.hpp"

#include <filesystem>
#include <optional>
#include <system_error>
#include <utility>
#include <vector>

namespace hawthornstall::control {
namespace detail {

const std::string state_name = "state";
const std::string snapshot_name = "snapshot";
const std::string log_name = "log";

template <class Value> std::string encode_record(const Value& value) {
    std::string bytes;
    append_record(bytes, wire::encode(value));
    return bytes;
}

/// Value of a file with a single record; empty when the file is damaged.
template <class Value> std::optional<Value> decode_record(std::string_view bytes) {
    const auto payload = single_record(bytes);
    if (!payload) {
        return std::nullopt;
    }
    auto value = wire::decode<Value>(*payload);
    return value.ok() ? std::optional{std::move(*value)} : std::nullopt;
}

} // namespace detail

absl::StatusOr<file_storage> file_storage::open(const std::string& folder, std::string_view host,
                                                std::uint64_t new_storage_id) {
    file_storage storage{folder};
    if (auto loaded = storage.load(host, new_storage_id); !loaded.ok()) {
        return loaded;
    }
    return storage;
}

absl::Status file_storage::load(std::string_view host, std::uint64_t new_storage_id) {
    auto lock = lock_folder(folder_);
    if (!lock.ok()) {
        return lock.status();
    }
    lock_ = std::move(*lock);
    const auto state = read_file(folder_ + '/' + detail::state_name);
    const auto snapshot = read_file(folder_ + '/' + detail::snapshot_name);
    const auto log = read_file(folder_ + '/' + detail::log_name);
    for (const auto& status : {state.status(), snapshot.status(), log.status()}) {
        if (!status.ok()) {
            return status;
        }
    }
    if (!*state) {
        // create() writes the state file last; until then, the other files hold no entries.
        const bool is_fresh = (!*log || (*log)->empty()) &&
                              (!*snapshot || **snapshot == detail::encode_record(log_snapshot{}));
        return is_fresh ? create(host, new_storage_id) : damage_error("the state file is missing");
    }
    if (!*log || !*snapshot) {
        return damage_error("the log file or the snapshot file is missing");
    }
    if (auto loaded = load_state(**state, host); !loaded.ok()) {
        return loaded;
    }
    auto decoded = detail::decode_record<log_snapshot>(**snapshot);
    if (!decoded) {
        return damage_error("the snapshot file is damaged");
    }
    log_.rebase(decoded->position, std::move(decoded->members));
    return load_log(**log);
}

absl::Status file_storage::create(std::string_view host, std::uint64_t new_storage_id) {
    if (auto opened = open_log(); !opened.ok()) {
        return opened;
    }
    if (auto synced = sync_file(log_file_); !synced.ok()) {
        return synced;
    }
    if (auto saved =
            replace_file(folder_, detail::snapshot_name, detail::encode_record(log_snapshot{}));
        !saved.ok()) {
        return saved;
    }
    return save_state({.self = {.host = std::string{host}, .storage_id = new_storage_id},
                       .cluster_id = 0,
                       .term = 0,
                       .voted_for = std::nullopt});
}

absl::Status file_storage::load_state(std::string_view bytes, std::string_view host) {
    auto state = detail::decode_record<hard_state>(bytes);
    if (!state) {
        return damage_error("the state file is damaged");
    }
    if (state->self.host != host) {
        return core::make_error(absl::StatusCode::kFailedPrecondition,
                                {.step = "open_storage", .peer = {}},
                                folder_ + ": the folder belongs to host " + state->self.host);
    }
    state_ = std::move(*state);
    return absl::OkStatus();
}

absl::Status file_storage::load_log(std::string_view bytes) {
    const auto scan = scan_records(bytes);
    if (scan.end == record_end::damaged) {
        return damage_error("a log record is damaged at byte " + std::to_string(scan.valid_bytes));
    }
    std::vector<log_entry> entries;
    for (const auto& record : scan.records) {
        auto entry = wire::decode<log_entry>(record.payload);
        const bool continues =
            entry.ok() &&
            (entries.empty() || entry->position.index == entries.back().position.index + 1);
        if (!continues) {
            return damage_error("a log record is out of place at byte " +
                                std::to_string(record.offset));
        }
        entries.push_back(std::move(*entry));
    }
    const auto base = log_.base();
    if (!entries.empty() && entries.front().position.index > base.index + 1) {
        return damage_error("entries are missing between the snapshot and the log");
    }
    // A crash between the replacement of the snapshot and that of the log leaves entries that the
    // snapshot covers. The entries after it are valid only if the log agrees with the snapshot.
    std::size_t covered = 0;
    while (covered < entries.size() && entries[covered].position.index <= base.index) {
        ++covered;
    }
    const bool continues_snapshot = covered == 0 || entries[covered - 1].position == base;
    if (continues_snapshot) {
        log_.append(std::span{entries}.subspan(covered));
    }
    if (auto opened = open_log(); !opened.ok()) {
        return opened;
    }
    if (covered != 0) {
        return rewrite_log();
    }
    for (const auto& record : scan.records) {
        record_offsets_.push_back(record.offset);
    }
    log_bytes_ = scan.valid_bytes;
    // After a crash of only the process, the entries may have been written but not synced.
    return scan.end == record_end::torn ? truncate_file(log_file_, log_bytes_)
                                        : sync_file(log_file_);
}

absl::Status file_storage::open_log() {
    auto file = open_file(folder_ + '/' + detail::log_name);
    if (!file.ok()) {
        return file.status();
    }
    log_file_ = std::move(*file);
    return absl::OkStatus();
}

absl::StatusOr<log_snapshot> file_storage::load_snapshot() const {
    const auto bytes = read_file(folder_ + '/' + detail::snapshot_name);
    if (!bytes.ok()) {
        return bytes.status();
    }
    auto snapshot = detail::decode_record<log_snapshot>(bytes->value_or(""));
    if (!snapshot) {
        return damage_error("the snapshot file is missing or damaged");
    }
    return std::move(*snapshot);
}

absl::Status file_storage::save_state(const hard_state& state) {
    state_ = state;
    return replace_file(folder_, detail::state_name, detail::encode_record(state));
}

std::string file_storage::encode_entries(std::span<const log_entry> entries) {
    std::string bytes;
    for (const auto& entry : entries) {
        record_offsets_.push_back(log_bytes_ + bytes.size());
        append_record(bytes, wire::encode(entry));
    }
    return bytes;
}

absl::Status file_storage::append(std::span<const log_entry> entries) {
    if (entries.empty()) {
        return absl::OkStatus();
    }
    const auto kept = entries.front().position.index - log_.base().index - 1;
    if (kept < record_offsets_.size()) {
        log_bytes_ = record_offsets_[kept];
        record_offsets_.resize(kept);
        if (auto truncated = truncate_file(log_file_, log_bytes_); !truncated.ok()) {
            return truncated;
        }
    }
    log_.append(entries);
    const auto bytes = encode_entries(entries);
    auto written = write_at(log_file_, bytes, log_bytes_);
    log_bytes_ += bytes.size();
    return written;
}

absl::Status file_storage::install(const log_snapshot& snapshot) {
    auto replaced = replace_file(folder_, detail::snapshot_name, detail::encode_record(snapshot));
    if (!replaced.ok()) {
        return replaced;
    }
    log_.rebase(snapshot.position, snapshot.members);
    return rewrite_log();
}

absl::Status file_storage::rewrite_log() {
    record_offsets_.clear();
    log_bytes_ = 0;
    const auto bytes = encode_entries(log_.entries_from(log_.base().index + 1));
    if (auto replaced = replace_file(folder_, detail::log_name, bytes); !replaced.ok()) {
        return replaced;
    }
    log_bytes_ = bytes.size();
    return open_log();
}

absl::Status file_storage::damage_error(std::string_view problem) const {
    return core::make_error(absl::StatusCode::kDataLoss, {.step = "open_storage", .peer = {}},
                            folder_ + ": " + std::string{problem});
}

absl::StatusOr<opened_storage> open_or_replace(const std::string& parent, std::string_view host,
                                               std::uint64_t new_storage_id,
                                               core::time_ms wall_now) {
    const std::string folder = parent + "/config";
    const auto create_folder = [&]() -> absl::Status {
        std::error_code error;
        std::filesystem::create_directories(folder, error);
        if (error) {
            return core::make_error(absl::StatusCode::kUnavailable,
                                    {.step = "create_folder", .peer = {}},
                                    folder + ": " + error.message());
        }
        const auto grandparent = std::filesystem::absolute(parent).parent_path().string();
        auto synced = sync_folder(parent);
        synced.Update(sync_folder(grandparent));
        return synced;
    };
    if (auto created = create_folder(); !created.ok()) {
        return created;
    }
    auto storage = file_storage::open(folder, host, new_storage_id);
    std::string moved;
    if (storage.status().code() == absl::StatusCode::kDataLoss) {
        moved = folder + ".damaged-" + std::to_string(core::to_count(wall_now));
        std::error_code error;
        std::filesystem::rename(folder, moved, error);
        if (error) {
            return storage.status();
        }
        if (auto created = create_folder(); !created.ok()) {
            return created;
        }
        storage = file_storage::open(folder, host, new_storage_id);
    }
    if (!storage.ok()) {
        return storage.status();
    }
    return opened_storage{.storage = std::move(*storage), .damaged_folder = std::move(moved)};
}

} // namespace hawthornstall::control
