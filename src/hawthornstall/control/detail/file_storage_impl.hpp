#pragma once

/// Member functions of basic_file_storage. Included by file_storage.cpp, and by tests that use
/// other file operations.

#include "hawthornstall/control/consensus_layouts.hpp"
#include "hawthornstall/control/file_storage.hpp"
#include "hawthornstall/control/record_format.hpp"
#include "hawthornstall/core/error.hpp"
#include "hawthornstall/wire/codec.hpp"

#include <optional>
#include <utility>
#include <vector>

namespace hawthornstall::control {
namespace detail {

inline const std::string state_name = "state";
inline const std::string snapshot_name = "snapshot";
inline const std::string log_name = "log";

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

template <file_operations Files>
absl::StatusOr<basic_file_storage<Files>>
basic_file_storage<Files>::open(const std::string& folder, std::string_view host,
                                std::uint64_t new_storage_id, Files files) {
    basic_file_storage storage{folder, std::move(files)};
    if (auto loaded = storage.load(host, new_storage_id); !loaded.ok()) {
        return loaded;
    }
    return storage;
}

template <file_operations Files>
absl::Status basic_file_storage<Files>::load(std::string_view host, std::uint64_t new_storage_id) {
    auto lock = files_.lock(folder_ + "/lock");
    if (!lock.ok()) {
        return lock.status();
    }
    lock_ = std::move(*lock);
    const auto state = files_.read(folder_ + '/' + detail::state_name);
    const auto snapshot = files_.read(folder_ + '/' + detail::snapshot_name);
    const auto log = files_.read(folder_ + '/' + detail::log_name);
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

template <file_operations Files>
absl::Status basic_file_storage<Files>::create(std::string_view host,
                                               std::uint64_t new_storage_id) {
    if (auto opened = open_log(); !opened.ok()) {
        return opened;
    }
    if (auto synced = files_.sync(log_file_); !synced.ok()) {
        return synced;
    }
    if (auto saved = replace(detail::snapshot_name, detail::encode_record(log_snapshot{}));
        !saved.ok()) {
        return saved;
    }
    return save_state({.self = {.host = std::string{host}, .storage_id = new_storage_id},
                       .cluster_id = 0,
                       .term = 0,
                       .voted_for = std::nullopt});
}

template <file_operations Files>
absl::Status basic_file_storage<Files>::load_state(std::string_view bytes, std::string_view host) {
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

template <file_operations Files>
absl::Status basic_file_storage<Files>::load_log(std::string_view bytes) {
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
    return scan.end == record_end::torn ? truncate_synced(files_, log_file_, log_bytes_)
                                        : files_.sync(log_file_);
}

template <file_operations Files> absl::Status basic_file_storage<Files>::open_log() {
    auto file = files_.open(folder_ + '/' + detail::log_name);
    if (!file.ok()) {
        return file.status();
    }
    log_file_ = std::move(*file);
    return absl::OkStatus();
}

template <file_operations Files>
absl::StatusOr<log_snapshot> basic_file_storage<Files>::load_snapshot() const {
    const auto bytes = files_.read(folder_ + '/' + detail::snapshot_name);
    if (!bytes.ok()) {
        return bytes.status();
    }
    auto snapshot = detail::decode_record<log_snapshot>(bytes->value_or(""));
    if (!snapshot) {
        return damage_error("the snapshot file is missing or damaged");
    }
    return std::move(*snapshot);
}

template <file_operations Files>
absl::Status basic_file_storage<Files>::save_state(const hard_state& state) {
    state_ = state;
    return replace(detail::state_name, detail::encode_record(state));
}

template <file_operations Files>
absl::Status basic_file_storage<Files>::replace(const std::string& name, std::string_view bytes) {
    return replace_file(files_, folder_, name, bytes);
}

/// Appends the records of `entries` to `bytes`, which follow what is written to the log file.
template <file_operations Files>
void basic_file_storage<Files>::encode_entries(std::span<const log_entry> entries,
                                               std::string& bytes) {
    for (const auto& entry : entries) {
        record_offsets_.push_back(log_bytes_ + bytes.size());
        append_record(bytes, wire::encode(entry));
    }
}

template <file_operations Files>
absl::Status basic_file_storage<Files>::append(std::span<const log_entry> entries) {
    if (entries.empty()) {
        return absl::OkStatus();
    }
    const auto kept = entries.front().position.index - log_.base().index - 1;
    if (kept < record_offsets_.size()) {
        const auto end = record_offsets_[kept];
        record_offsets_.resize(kept);
        unwritten_.resize(end > log_bytes_ ? end - log_bytes_ : 0);
        if (end < log_bytes_) {
            log_bytes_ = end;
            if (auto truncated = truncate_synced(files_, log_file_, end); !truncated.ok()) {
                return truncated;
            }
        }
    }
    log_.append(entries);
    encode_entries(entries, unwritten_);
    return absl::OkStatus();
}

template <file_operations Files> absl::Status basic_file_storage<Files>::sync() {
    if (!unwritten_.empty()) {
        if (auto written = files_.write_at(log_file_, unwritten_, log_bytes_); !written.ok()) {
            return written;
        }
        log_bytes_ += unwritten_.size();
        unwritten_.clear();
    }
    return files_.sync(log_file_);
}

template <file_operations Files>
absl::Status basic_file_storage<Files>::install(const log_snapshot& snapshot) {
    auto replaced = replace(detail::snapshot_name, detail::encode_record(snapshot));
    if (!replaced.ok()) {
        return replaced;
    }
    log_.rebase(snapshot.position, snapshot.members);
    return rewrite_log();
}

template <file_operations Files> absl::Status basic_file_storage<Files>::rewrite_log() {
    record_offsets_.clear();
    unwritten_.clear();
    log_bytes_ = 0;
    std::string bytes;
    encode_entries(log_.entries_from(log_.base().index + 1), bytes);
    if (auto replaced = replace(detail::log_name, bytes); !replaced.ok()) {
        return replaced;
    }
    log_bytes_ = bytes.size();
    return open_log();
}

template <file_operations Files>
absl::Status basic_file_storage<Files>::damage_error(std::string_view problem) const {
    return core::make_error(absl::StatusCode::kDataLoss, {.step = "open_storage", .peer = {}},
                            folder_ + ": " + std::string{problem});
}

} // namespace hawthornstall::control
