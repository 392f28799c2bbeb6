#pragma once

/// Disk in memory whose operations fail and which loses power at a chosen operation. Without a
/// sync, each later write may be present, missing or torn afterwards, and each created or renamed
/// name may be kept or lost, independently of the others.

#include "hawthornstall/control/data_files.hpp"

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <numeric>
#include <optional>
#include <random>
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

/// State of the disk, shared by its users.
class simulated_disk {
public:
    /// How much of a change reaches the disk.
    enum class extent : std::uint8_t {
        whole,
        prefix,        ///< The file ends after it.
        whole_sectors, ///< The file has its full length, and the rest of the change is zeros.
    };
    /// Applies a change to the content of a file; `bytes` is the length of the part that arrives.
    using pending_change = std::function<void(std::string&, extent, std::size_t bytes)>;

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
    void restart(std::mt19937& random) {
        if (!has_power_) {
            lose_unsynced(random);
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
        change(file.content, extent::whole, 0);
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

    void lose_unsynced(std::mt19937& random) {
        std::uniform_int_distribution<int> choice{0, 3}; // 0: nothing of a change arrives.
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
                    change(content, static_cast<extent>(outcome - 1), random());
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
            simulated_disk::write(*target, [size](std::string& content, simulated_disk::extent,
                                                  std::size_t) { content.resize(size); });
        });
    }
    /// The write of `bytes` at `offset`. Sectors reach the disk as a whole.
    [[nodiscard]] static simulated_disk::pending_change make_write(std::string_view bytes,
                                                                   std::uint64_t offset) {
        return [text = std::string{bytes},
                offset](std::string& content, simulated_disk::extent extent, std::size_t length) {
            constexpr std::size_t sector_bytes = 512;
            auto arrived =
                extent == simulated_disk::extent::whole ? text.size() : length % (text.size() + 1);
            if (extent == simulated_disk::extent::prefix && arrived == 0) {
                return;
            }
            const bool has_full_length = extent != simulated_disk::extent::prefix;
            if (extent == simulated_disk::extent::whole_sectors) {
                const auto end = (offset + arrived) / sector_bytes * sector_bytes;
                arrived = end > offset ? end - offset : 0;
            }
            const auto size = offset + (has_full_length ? text.size() : arrived);
            content.resize(std::max<std::size_t>(content.size(), size), '\0');
            content.replace(offset, arrived, text, 0, arrived);
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
    [[nodiscard]] absl::Status sync_folder(const std::string& /*folder*/) const {
        return disk->carry_out([&] { disk->sync_names(); });
    }

    simulated_disk* disk = nullptr;
};

static_assert(file_operations<simulated_files>);

} // namespace hawthornstall::control
