#include "hawthornstall/control/log_recovery.hpp"

#include "hawthornstall/control/consensus_layouts.hpp"
#include "hawthornstall/control/record_format.hpp"
#include "hawthornstall/wire/codec.hpp"

#include <algorithm>
#include <iterator>
#include <limits>
#include <utility>

namespace hawthornstall::control {
namespace detail {

/// Records of the log file up to the first that is not whole or not in its place.
struct log_records {
    std::vector<log_entry> entries;
    std::vector<std::uint64_t> offsets;
    std::uint64_t valid_bytes = 0;
    bool was_altered = false; ///< Not what an interrupted write leaves, as far as can be told.
    std::string problem;
};

log_records read_records(std::string_view bytes) {
    const auto scan = scan_records(bytes);
    log_records read;
    read.valid_bytes = scan.valid_bytes;
    for (const auto& record : scan.records) {
        auto entry = wire::decode<log_entry>(record.payload);
        const bool continues =
            entry.ok() && (read.entries.empty() ||
                           entry->position.index == read.entries.back().position.index + 1);
        if (!continues) {
            read.valid_bytes = record.offset;
            read.was_altered = true;
            read.problem = "a log record is out of place at byte " + std::to_string(record.offset);
            return read;
        }
        read.entries.push_back(std::move(*entry));
        read.offsets.push_back(record.offset);
    }
    if (scan.end != record_end::whole) {
        read.was_altered = scan.end == record_end::damaged;
        read.problem = "a log record is incomplete or damaged at byte " +
                       std::to_string(scan.valid_bytes) + " of " + std::to_string(bytes.size());
    }
    return read;
}

void load_snapshot(std::optional<std::string_view> bytes, recovered_log& recovered) {
    if (!bytes) {
        recovered.problem = "the snapshot file is missing";
        return;
    }
    const auto payload = single_record(*bytes);
    auto snapshot = wire::decode<log_snapshot>(payload.value_or(""));
    if (!payload || !snapshot.ok()) {
        recovered.problem = "the snapshot file is damaged";
        return;
    }
    recovered.has_snapshot = true;
    recovered.base = snapshot->position;
    recovered.members = std::move(snapshot->members);
}

/// Takes the entries after the snapshot. A crash between the replacement of the snapshot and that
/// of the log leaves entries that the snapshot covers; the entries after it are valid only if the
/// log agrees with the snapshot. False when entries are missing between the two.
bool take_entries(log_records&& read, recovered_log& recovered) {
    const auto base = recovered.base;
    if (!read.entries.empty() && read.entries.front().position.index > base.index + 1) {
        recovered.problem = "entries are missing between the snapshot and the log";
        return false;
    }
    recovered.problem = std::move(read.problem);
    const auto first_after = std::ranges::find_if(
        read.entries, [&](const log_entry& entry) { return entry.position.index > base.index; });
    const auto covered = first_after - read.entries.begin();
    recovered.matches_file = covered == 0;
    recovered.valid_bytes = read.valid_bytes;
    if (covered == 0 || std::prev(first_after)->position == base) {
        recovered.entries.assign(std::make_move_iterator(first_after),
                                 std::make_move_iterator(read.entries.end()));
        recovered.record_offsets.assign(read.offsets.begin() + covered, read.offsets.end());
    }
    return true;
}

/// Position of the last whole entry anywhere in the log file, also after damage. Records start at
/// multiples of their alignment.
log_position last_whole_entry(std::string_view bytes) {
    log_position last;
    for (std::uint64_t offset = 0; offset < bytes.size(); offset += record_alignment) {
        const auto record = first_record(bytes.substr(offset));
        if (!record) {
            continue;
        }
        if (const auto entry = wire::decode<log_entry>(*record); entry.ok()) {
            last = std::max(last, entry->position);
        }
    }
    return last;
}

/// Last entry that a member with a damaged log can have confirmed, as far as its files tell. The
/// synced position may be an earlier one than the member has confirmed.
log_position confirmed_position(const log_files& files) {
    if (files.synced && files.log) {
        return std::max(*files.synced, last_whole_entry(*files.log));
    }
    return {.term = files.term, .index = std::numeric_limits<std::uint64_t>::max()};
}

std::string describe(const log_position& position) {
    return "term " + std::to_string(position.term) + ", index " + std::to_string(position.index);
}

std::string describe_loss(const recovered_log& recovered, bool is_end_known) {
    return "entries that were synced are missing after " + describe(recovered.last()) +
           (is_end_known ? ", up to " + describe(recovered.acknowledged) : std::string{});
}

} // namespace detail

recovered_log recover_log(const log_files& files) {
    recovered_log recovered;
    detail::load_snapshot(files.snapshot, recovered);
    bool is_altered = true;
    if (recovered.has_snapshot && files.log) {
        auto read = detail::read_records(*files.log);
        // With a synced position, only what is missing up to it counts as damage of a record.
        const bool has_altered_record = read.was_altered && !files.synced;
        is_altered = !detail::take_entries(std::move(read), recovered) || has_altered_record;
    } else if (recovered.has_snapshot) {
        recovered.problem = "the log file is missing";
    }
    recovered.is_synced_known = files.synced.has_value();
    recovered.acknowledged = files.synced.value_or(recovered.last());
    if (is_altered || recovered.is_damaged()) {
        recovered.acknowledged = detail::confirmed_position(files);
    }
    if (recovered.is_damaged()) {
        recovered.problem += (recovered.problem.empty() ? "" : "; ") +
                             detail::describe_loss(recovered, files.synced.has_value());
    }
    return recovered;
}

} // namespace hawthornstall::control
