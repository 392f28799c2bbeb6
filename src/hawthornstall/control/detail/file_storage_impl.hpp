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

namespace hawthornstall::control {
namespace detail {

inline const std::string state_name = "state";
inline const std::string snapshot_name = "snapshot";
inline const std::string log_name = "log";
inline const std::string synced_name = "synced";

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
    // A process that ended before it synced the folder leaves names that a loss of power can undo.
    if (auto synced = files_.sync_folder(folder_); !synced.ok()) {
        return synced;
    }
    const auto state = files_.read(folder_ + '/' + detail::state_name);
    const auto snapshot = files_.read(folder_ + '/' + detail::snapshot_name);
    const auto log = files_.read(folder_ + '/' + detail::log_name);
    const auto synced = files_.read(folder_ + '/' + detail::synced_name);
    for (const auto& status : {state.status(), snapshot.status(), log.status(), synced.status()}) {
        if (!status.ok()) {
            return status;
        }
    }
    if (!*state) {
        // create() writes the state file last; until then, the other files hold no entries.
        const bool is_fresh = !*synced && (!*log || (*log)->empty()) &&
                              (!*snapshot || **snapshot == detail::encode_record(log_snapshot{}));
        return is_fresh ? create(host, new_storage_id) : damage_error("the state file is missing");
    }
    if (auto loaded = load_state(**state, host); !loaded.ok()) {
        return loaded;
    }
    return is_cluster(state_.cluster_id) ? load_log(*snapshot, *log, *synced)
                                         : start_empty(*synced);
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
    auto saved = save_state({.self = {.host = std::string{host}, .storage_id = new_storage_id},
                             .cluster_id = 0,
                             .term = 0,
                             .voted_for = std::nullopt});
    if (!saved.ok()) {
        return saved;
    }
    if (auto opened = open_synced(std::nullopt); !opened.ok()) {
        return opened;
    }
    return synced_file_.write_synced(files_, synced_);
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
absl::Status basic_file_storage<Files>::load_log(const std::optional<std::string>& snapshot,
                                                 const std::optional<std::string>& log,
                                                 const std::optional<std::string>& synced) {
    auto recovered = recover_log({.snapshot = snapshot,
                                  .log = log,
                                  .synced = synced_position_file<Files>::read(synced),
                                  .term = state_.term});
    problem_ = std::move(recovered.problem);
    const auto log_file_bytes = log ? log->size() : 0;
    if (!recovered.has_snapshot) {
        keep_damaged(detail::snapshot_name, snapshot);
    }
    if (recovered.is_damaged() && recovered.valid_bytes < log_file_bytes) {
        keep_damaged(detail::log_name, log);
    }
    log_.rebase(recovered.base, std::move(recovered.members));
    log_.append(recovered.entries);
    if (auto opened = open_synced(synced); !opened.ok()) {
        return opened;
    }
    // Written before the files are repaired, after which they show no damage.
    if (recovered.is_damaged()) {
        synced_ = recovered.acknowledged;
        if (auto written = synced_file_.write_synced(files_, synced_); !written.ok()) {
            return written;
        }
    }
    if (auto repaired = repair_files(recovered, log_file_bytes); !repaired.ok()) {
        return repaired;
    }
    if (recovered.is_synced_known) {
        return raise_synced();
    }
    // Without a position in the file, a torn write of the first entries would look like damage.
    synced_ = acknowledged();
    return synced_file_.write_synced(files_, synced_);
}

/// Makes the files hold the recovered log and nothing else.
template <file_operations Files>
absl::Status basic_file_storage<Files>::repair_files(const recovered_log& recovered,
                                                     std::size_t log_file_bytes) {
    if (!recovered.has_snapshot) {
        auto replaced = replace(detail::snapshot_name, detail::encode_record(log_snapshot{}));
        if (!replaced.ok()) {
            return replaced;
        }
    }
    if (!recovered.matches_file) {
        return rewrite_log();
    }
    if (auto opened = open_log(); !opened.ok()) {
        return opened;
    }
    record_offsets_.assign(recovered.record_offsets.begin(), recovered.record_offsets.end());
    log_bytes_ = recovered.valid_bytes;
    // After a crash of only the process, the entries may have been written but not synced.
    return log_bytes_ < log_file_bytes ? truncate_synced(files_, log_file_, log_bytes_)
                                       : files_.sync(log_file_);
}

/// Opens the log of a member without a cluster, which holds no entries. What the files hold was
/// left by an interrupted creation of a cluster or installation of the first snapshot.
template <file_operations Files>
absl::Status basic_file_storage<Files>::start_empty(const std::optional<std::string>& synced) {
    if (auto replaced = replace(detail::snapshot_name, detail::encode_record(log_snapshot{}));
        !replaced.ok()) {
        return replaced;
    }
    if (auto rewritten = rewrite_log(); !rewritten.ok()) {
        return rewritten;
    }
    if (auto opened = open_synced(synced); !opened.ok()) {
        return opened;
    }
    synced_ = {};
    return synced_file_.write_synced(files_, synced_);
}

/// Keeps a copy of a damaged file for the analysis, if the disk has room for it.
template <file_operations Files>
void basic_file_storage<Files>::keep_damaged(const std::string& name,
                                             const std::optional<std::string>& bytes) {
    if (bytes) {
        replace(name + ".damaged", *bytes).IgnoreError();
    }
}

template <file_operations Files> absl::Status basic_file_storage<Files>::open_log() {
    auto file = files_.open(folder_ + '/' + detail::log_name);
    if (!file.ok()) {
        return file.status();
    }
    log_file_ = std::move(*file);
    return absl::OkStatus();
}

/// Opens the file of the synced position, with its earlier `content`.
template <file_operations Files>
absl::Status basic_file_storage<Files>::open_synced(const std::optional<std::string>& content) {
    synced_ = synced_position_file<Files>::read(content).value_or(log_position{});
    return synced_file_.open(files_, folder_ + '/' + detail::synced_name, content);
}

/// Lowers the synced position, durably, before entries after `last` are dropped. They contradict
/// the log of the leader and so were never committed.
template <file_operations Files>
absl::Status basic_file_storage<Files>::lower_synced(const log_position& last) {
    if (has_lost_entries() || last >= synced_) {
        return absl::OkStatus();
    }
    synced_ = last;
    return synced_file_.write_synced(files_, last);
}

/// Writes the position of the last entry, up to which the log has been synced.
template <file_operations Files> absl::Status basic_file_storage<Files>::raise_synced() {
    if (log_.last() <= synced_) {
        return absl::OkStatus();
    }
    synced_ = log_.last();
    return synced_file_.write(files_, synced_);
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
            const auto last = entries.front().position.index - 1;
            if (auto lowered = lower_synced({*log_.term_at(last), last}); !lowered.ok()) {
                return lowered;
            }
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
    if (auto synced = files_.sync(log_file_); !synced.ok()) {
        return synced;
    }
    return raise_synced();
}

template <file_operations Files>
absl::Status basic_file_storage<Files>::install(const log_snapshot& snapshot) {
    const bool keeps_entries = log_.term_at(snapshot.position.index) == snapshot.position.term;
    if (auto lowered = lower_synced(keeps_entries ? log_.last() : snapshot.position);
        !lowered.ok()) {
        return lowered;
    }
    auto replaced = replace(detail::snapshot_name, detail::encode_record(snapshot));
    if (!replaced.ok()) {
        return replaced;
    }
    log_.rebase(snapshot.position, snapshot.members);
    if (auto rewritten = rewrite_log(); !rewritten.ok()) {
        return rewritten;
    }
    // Durable, so that it is never before the snapshot.
    synced_ = acknowledged();
    return synced_file_.write_synced(files_, synced_);
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
