#pragma once

/// File that tells up to which position the log of a member has been synced.

#include "hawthornstall/control/consensus_layouts.hpp"
#include "hawthornstall/control/data_files.hpp"
#include "hawthornstall/control/record_format.hpp"
#include "hawthornstall/wire/codec.hpp"

#include <algorithm>
#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace hawthornstall::control {

/// Two slots, of which the valid one with the higher sequence number counts. Only the slot that is
/// not durable is overwritten, so that a torn write leaves the other one.
///
/// A position is written after the log has been synced up to it, and is itself synced rarely, since
/// a sync takes as long as that of the log. After a loss of power the file may hold an earlier
/// position than the log, and records after it that the disk has altered look like a torn write.
template <file_operations Files> class synced_position_file {
public:
    /// Slots are in pages of their own, because a page may be written as a whole.
    static constexpr std::size_t slot_bytes = 4096;
    /// Most writes between two syncs. The first write after open() is synced.
    static constexpr std::size_t max_unsynced_writes = 64;

    /// Position in the content of the file; empty when no slot is whole.
    [[nodiscard]] static std::optional<log_position>
    read(const std::optional<std::string>& content) {
        const auto latest = latest_slot(content);
        return latest ? std::optional{latest->second.position} : std::nullopt;
    }

    /// Opens the file at `path`, whose content is `content`, and creates it when it is missing.
    [[nodiscard]] absl::Status open(Files& files, const std::string& path,
                                    const std::optional<std::string>& content) {
        auto opened = files.open(path);
        if (!opened.ok()) {
            return opened.status();
        }
        file_ = std::move(*opened);
        // The process may have ended before it synced what the file shows.
        if (auto synced = files.sync(file_); !synced.ok()) {
            return synced;
        }
        if (const auto latest = latest_slot(content)) {
            durable_slot_ = latest->first;
            sequence_ = latest->second.sequence;
        }
        return absl::OkStatus();
    }

    /// Writes a position that need not be durable.
    [[nodiscard]] absl::Status write(Files& files, const log_position& position) {
        return ++unsynced_writes_ > max_unsynced_writes ? write_synced(files, position)
                                                        : write_slot(files, position);
    }

    /// Writes a position that is durable on return.
    [[nodiscard]] absl::Status write_synced(Files& files, const log_position& position) {
        if (auto written = write_slot(files, position); !written.ok()) {
            return written;
        }
        if (auto synced = files.sync(file_); !synced.ok()) {
            return synced;
        }
        durable_slot_ = 1 - durable_slot_;
        unsynced_writes_ = 0;
        return absl::OkStatus();
    }

private:
    [[nodiscard]] absl::Status write_slot(Files& files, const log_position& position) {
        std::string bytes;
        append_record(bytes, wire::encode(synced_position{++sequence_, position}));
        return files.write_at(file_, bytes, (1 - durable_slot_) * slot_bytes);
    }

    static std::optional<std::pair<std::size_t, synced_position>>
    latest_slot(const std::optional<std::string>& content) {
        std::optional<std::pair<std::size_t, synced_position>> latest;
        const std::string_view bytes = content ? std::string_view{*content} : std::string_view{};
        for (const std::size_t slot : {0U, 1U}) {
            const auto start = std::min(slot * slot_bytes, bytes.size());
            const auto record = first_record(bytes.substr(start, slot_bytes));
            if (!record) {
                continue;
            }
            const auto value = wire::decode<synced_position>(*record);
            if (value.ok() && (!latest || value->sequence > latest->second.sequence)) {
                latest.emplace(slot, *value);
            }
        }
        return latest;
    }

    typename Files::file file_;
    std::size_t durable_slot_ = 1;
    std::uint64_t sequence_ = 0;
    std::size_t unsynced_writes_ = max_unsynced_writes;
};

} // namespace hawthornstall::control
