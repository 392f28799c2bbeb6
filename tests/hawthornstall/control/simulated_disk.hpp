#pragma once

/// Disk in memory whose operations fail and which loses power at a chosen operation. Without a
/// sync, each later write may be present, missing or torn in any way afterwards, and each created
/// or renamed name may be kept or lost, independently of the others.

#include "hawthornstall/control/data_files.hpp"

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <numeric>
#include <optional>
#include <random>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace hawthornstall::control {

/// What happens at the chosen operation.
enum class disk_fault : std::uint8_t {
    none,
    fails,               ///< The operation has no effect and reports an error.
    fails_halfway,       ///< A write reaches the file in part and reports an error.
    power_lost_before,   ///< No power from this operation on.
    power_lost_after,    ///< The operation takes place, then the power is lost.
    power_lost_unsynced, ///< As power_lost_after, and all that is not synced is lost.
};

/// Which part of a write reaches the disk. Bytes that do not keep the earlier content of the file,
/// or are zeros beyond its former end.
enum class write_extent : std::uint8_t {
    whole,
    prefix,            ///< The file ends after it.
    prefix_of_sectors, ///< The file has its full length, and whole sectors of the prefix arrive.
    prefix_of_bytes,   ///< The file has its full length, and the prefix ends anywhere.
    prefix_then_noise, ///< As prefix_of_bytes, and the other bytes are random.
    some_sectors,      ///< Sectors of 512 bytes arrive in any order.
    some_pages,        ///< Pages of 4 KiB arrive in any order.
    suffix,            ///< The end arrives, and the beginning does not.
};

constexpr std::array torn_extents{write_extent::prefix,          write_extent::prefix_of_sectors,
                                  write_extent::prefix_of_bytes, write_extent::prefix_then_noise,
                                  write_extent::some_sectors,    write_extent::some_pages,
                                  write_extent::suffix};

/// State of the disk, shared by its users.
class simulated_disk {
public:
    /// Applies a change to the content of a file as far as it reaches the disk.
    using pending_change =
        std::function<void(std::string&, write_extent extent, std::mt19937& random)>;

    /// Content of one file and the writes that are not synced.
    struct inode {
        std::string content{}; ///< As running programs see it.
        std::string durable{};
        std::vector<pending_change> unsynced{};
    };
    using inode_ptr = std::shared_ptr<inode>;
    using name_map = std::map<std::string, inode_ptr, std::less<>>;

    /// Lets `fault` happen at the operation with this number, counted from 1 from now on.
    void set_fault(disk_fault fault, std::size_t operation) {
        fault_ = fault;
        fault_at_ = operation;
        operations_ = 0;
    }

    [[nodiscard]] std::size_t operations() const noexcept { return operations_; }
    [[nodiscard]] bool has_power() const noexcept { return has_power_; }

    /// Most bytes that all files together have had.
    [[nodiscard]] std::size_t most_bytes() const noexcept { return most_bytes_; }

    /// Starts the machine again: what is not durable is present, missing or torn at random.
    void restart(std::mt19937& random) { restart(random, torn_extents); }

    /// As above, with only these kinds of torn writes.
    void restart(std::mt19937& random, std::span<const write_extent> torn) {
        if (!has_power_) {
            lose_unsynced(random, torn);
        }
        has_power_ = true;
        fault_ = disk_fault::none;
    }

    /// Carries out an operation unless it fails. `halfway` is its partial effect.
    absl::Status carry_out(
        const std::function<void()>& effect, const std::function<void()>& halfway = [] {}) {
        ++operations_;
        const bool is_hit = fault_ != disk_fault::none && operations_ == fault_at_;
        if (is_hit && (fault_ == disk_fault::power_lost_before)) {
            has_power_ = false;
        }
        if (!has_power_) {
            return absl::UnavailableError("no power");
        }
        if (is_hit && fault_ == disk_fault::fails) {
            return absl::UnavailableError("the operation failed");
        }
        if (is_hit && fault_ == disk_fault::fails_halfway) {
            halfway();
            return absl::UnavailableError("the disk is full");
        }
        effect();
        most_bytes_ = std::max(most_bytes_, bytes());
        if (is_hit) {
            has_power_ = false;
            loses_all_unsynced_ = fault_ == disk_fault::power_lost_unsynced;
            return absl::UnavailableError("no power");
        }
        return absl::OkStatus();
    }

    /// Makes a change of a file that is not durable yet.
    static void write(inode& file, pending_change change) {
        std::mt19937 unused;
        change(file.content, write_extent::whole, unused);
        file.unsynced.push_back(std::move(change));
    }

    void sync(const inode_ptr& file) {
        file->durable = file->content;
        file->unsynced.clear();
        // The sync of a new file makes its name durable too.
        for (const auto& [name, known] : names_) {
            if (known == file && !durable_names_.contains(name)) {
                durable_names_[name] = file;
            }
        }
    }

    /// Sets a name; empty removes it. Durable after the next sync_names().
    void set_name(const std::string& name, const inode_ptr& file) {
        const auto change = [name, file](name_map& names) {
            if (file == nullptr) {
                names.erase(name);
            } else {
                names[name] = file;
            }
        };
        change(names_);
        unsynced_names_.emplace_back(change);
    }

    void sync_names() {
        durable_names_ = names_;
        unsynced_names_.clear();
    }

    [[nodiscard]] inode_ptr find(std::string_view name) const {
        const auto found = names_.find(name);
        return found == names_.end() ? nullptr : found->second;
    }

private:
    [[nodiscard]] std::size_t bytes() const {
        return std::accumulate(
            names_.begin(), names_.end(), std::size_t{0},
            [](std::size_t sum, const auto& item) { return sum + item.second->content.size(); });
    }

    void lose_unsynced(std::mt19937& random, std::span<const write_extent> torn) {
        std::uniform_int_distribution<int> choice{0, 3}; // 0: nothing of a change arrives.
        std::uniform_int_distribution<std::size_t> kind{0, torn.size() - 1};
        for (const auto& change : unsynced_names_) {
            if (!loses_all_unsynced_ && choice(random) > 0) {
                change(durable_names_);
            }
        }
        for (const auto& [name, file] : durable_names_) {
            auto content = file->durable;
            for (const auto& change : file->unsynced) {
                const auto outcome = loses_all_unsynced_ ? 0 : choice(random);
                if (outcome > 0) {
                    change(content, outcome == 1 ? write_extent::whole : torn[kind(random)],
                           random);
                }
            }
            *file = {.content = content, .durable = content};
        }
        names_ = durable_names_;
        unsynced_names_.clear();
        loses_all_unsynced_ = false;
    }

    name_map names_;
    name_map durable_names_;
    std::vector<std::function<void(name_map&)>> unsynced_names_;
    disk_fault fault_ = disk_fault::none;
    std::size_t fault_at_ = 0;
    std::size_t operations_ = 0;
    std::size_t most_bytes_ = 0;
    bool has_power_ = true;
    bool loses_all_unsynced_ = false;
};

/// file_operations on a simulated_disk, which must outlive them.
struct simulated_files {
    using file = simulated_disk::inode_ptr;

    [[nodiscard]] absl::StatusOr<file> open(const std::string& path) const {
        file opened;
        auto status = disk->carry_out([&] {
            opened = disk->find(path);
            if (opened == nullptr) {
                opened = std::make_shared<simulated_disk::inode>();
                disk->set_name(path, opened);
            }
        });
        return status.ok() ? absl::StatusOr<file>{opened} : status;
    }
    [[nodiscard]] absl::StatusOr<file> create(const std::string& path) const {
        auto opened = open(path);
        if (opened.ok()) {
            if (auto truncated = truncate(*opened, 0); !truncated.ok()) {
                return truncated;
            }
        }
        return opened;
    }
    [[nodiscard]] absl::StatusOr<file> lock(const std::string& path) const { return open(path); }
    [[nodiscard]] absl::StatusOr<std::optional<std::string>> read(const std::string& path) const {
        std::optional<std::string> content;
        auto status = disk->carry_out([&] {
            if (const auto found = disk->find(path)) {
                content = found->content;
            }
        });
        return status.ok() ? absl::StatusOr<std::optional<std::string>>{content} : status;
    }
    [[nodiscard]] absl::Status write_at(const file& target, std::string_view bytes,
                                        std::uint64_t offset) const {
        return disk->carry_out([&] { simulated_disk::write(*target, make_write(bytes, offset)); },
                               [&] {
                                   simulated_disk::write(
                                       *target,
                                       make_write(bytes.substr(0, bytes.size() / 2), offset));
                               });
    }
    [[nodiscard]] absl::Status truncate(const file& target, std::uint64_t size) const {
        return disk->carry_out([&] {
            simulated_disk::write(*target, [size](std::string& content, write_extent, auto&) {
                content.resize(size);
            });
        });
    }
    /// The write of `bytes` at `offset`.
    [[nodiscard]] static simulated_disk::pending_change make_write(std::string_view bytes,
                                                                   std::uint64_t offset) {
        return [text = std::string{bytes}, offset](std::string& content, write_extent extent,
                                                   std::mt19937& random) {
            apply_write(content, text, offset, extent, random);
        };
    }
    [[nodiscard]] absl::Status sync(const file& target) const {
        return disk->carry_out([&] { disk->sync(target); });
    }
    [[nodiscard]] absl::Status rename(const std::string& from, const std::string& to) const {
        return disk->carry_out([&] {
            disk->set_name(to, disk->find(from));
            disk->set_name(from, nullptr);
        });
    }
    [[nodiscard]] absl::Status remove(const std::string& path) const {
        return disk->carry_out([&] { disk->set_name(path, nullptr); });
    }
    [[nodiscard]] absl::Status sync_folder(const std::string& /*folder*/) const {
        return disk->carry_out([&] { disk->sync_names(); });
    }

    simulated_disk* disk = nullptr;

private:
    static constexpr std::size_t sector_bytes = 512;
    static constexpr std::size_t page_bytes = 4096;

    static void apply_write(std::string& content, std::string_view text, std::uint64_t offset,
                            write_extent extent, std::mt19937& random) {
        std::uniform_int_distribution<std::size_t> length{0, text.size()};
        const auto cut = extent == write_extent::whole ? text.size() : length(random);
        if (extent == write_extent::prefix && cut == 0) {
            return;
        }
        const auto end = offset + (extent == write_extent::prefix ? cut : text.size());
        content.resize(std::max<std::size_t>(content.size(), end), '\0');
        const auto copy = [&](std::size_t from, std::size_t to) {
            content.replace(offset + from, to - from, text, from, to - from);
        };
        switch (extent) {
        case write_extent::whole:
        case write_extent::prefix:
        case write_extent::prefix_of_bytes:
            copy(0, cut);
            break;
        case write_extent::prefix_of_sectors: {
            const auto boundary = (offset + cut) / sector_bytes * sector_bytes;
            copy(0, std::max<std::uint64_t>(boundary, offset) - offset);
            break;
        }
        case write_extent::prefix_then_noise:
            std::generate(content.begin() + static_cast<std::ptrdiff_t>(offset),
                          content.begin() + static_cast<std::ptrdiff_t>(end),
                          [&] { return static_cast<char>(random()); });
            copy(0, cut);
            break;
        case write_extent::some_sectors:
            copy_some_blocks(text.size(), offset, sector_bytes, copy, random);
            break;
        case write_extent::some_pages:
            copy_some_blocks(text.size(), offset, page_bytes, copy, random);
            break;
        case write_extent::suffix:
            copy(cut, text.size());
            break;
        }
    }

    /// Copies each block of the file, or the part of it that the write covers, with a chance of one
    /// in two.
    template <class Copy>
    static void copy_some_blocks(std::size_t size, std::uint64_t offset, std::size_t block_bytes,
                                 const Copy& copy, std::mt19937& random) {
        for (std::size_t from = 0; from < size;) {
            const auto block_end = ((offset + from) / block_bytes + 1) * block_bytes;
            const auto to = std::min<std::size_t>(size, block_end - offset);
            if (random() % 2 == 0) {
                copy(from, to);
            }
            from = to;
        }
    }
};

static_assert(file_operations<simulated_files>);

} // namespace hawthornstall::control
