#include "hawthornstall/control/file_storage.hpp"

#include "hawthornstall/control/detail/file_storage_impl.hpp"
#include "hawthornstall/core/error.hpp"

#include <filesystem>
#include <system_error>
#include <utility>

namespace hawthornstall::control {

template class basic_file_storage<posix_files>;

namespace detail {

namespace filesystem = std::filesystem;

constexpr std::string_view folder_name = "config";
constexpr std::string_view damaged_prefix = "config.damaged-";

/// Present once this host has lost its membership, so that no later loss of names makes it look
/// like a new host.
constexpr std::string_view lost_membership_name = "membership_lost";

absl::Status folder_error(std::string_view step, const std::string& path, std::error_code error) {
    return core::make_error(absl::StatusCode::kUnavailable, {.step = step, .peer = {}},
                            path + ": " + error.message());
}

/// Creates `parent`/config when it is missing, and makes its name durable.
absl::Status create_folder(const std::string& parent, const std::string& folder) {
    std::error_code error;
    filesystem::create_directories(folder, error);
    if (error) {
        return folder_error("create_folder", folder, error);
    }
    const auto grandparent = filesystem::absolute(parent).parent_path().string();
    auto synced = posix_files::sync_folder(parent);
    synced.Update(posix_files::sync_folder(grandparent));
    return synced;
}

/// Removes the folders that earlier damage has left, which take as much of the disk as the log.
void remove_damaged_folders(const std::string& parent) {
    std::error_code error;
    for (const auto& item : filesystem::directory_iterator{parent, error}) {
        if (item.path().filename().string().starts_with(damaged_prefix)) {
            std::error_code ignored;
            filesystem::remove_all(item.path(), ignored);
        }
    }
}

/// Moves the folder of a member whose vote is lost to `moved`.
absl::Status move_folder(const std::string& parent, const std::string& folder,
                         const std::string& moved, std::string_view reason) {
    posix_files files;
    if (auto noted = replace_file(files, parent, std::string{lost_membership_name}, reason);
        !noted.ok()) {
        return noted;
    }
    remove_damaged_folders(parent);
    std::error_code error;
    filesystem::rename(folder, moved, error);
    return error ? folder_error("move_folder", folder, error) : create_folder(parent, folder);
}

/// Marks the new member of a host that has lost its membership as one that is not new.
absl::Status forbid_creation(const std::string& parent, file_storage& storage) {
    std::error_code error;
    const bool has_lost_membership =
        filesystem::exists(parent + '/' + std::string{lost_membership_name}, error);
    if (error) {
        return folder_error("open_storage", parent, error);
    }
    if (!has_lost_membership || storage.state().cluster_id != 0) {
        return absl::OkStatus();
    }
    auto state = storage.state();
    state.cluster_id = unknown_cluster_id;
    return storage.save_state(state);
}

} // namespace detail

absl::StatusOr<opened_storage> open_or_replace(const std::string& parent, std::string_view host,
                                               std::uint64_t new_storage_id,
                                               core::time_ms wall_now) {
    const std::string folder = parent + '/' + std::string{detail::folder_name};
    if (auto created = detail::create_folder(parent, folder); !created.ok()) {
        return created;
    }
    auto storage = file_storage::open(folder, host, new_storage_id);
    std::string moved;
    std::string damage;
    if (storage.status().code() == absl::StatusCode::kDataLoss) {
        damage = core::describe(storage.status());
        moved = parent + '/' + std::string{detail::damaged_prefix} +
                std::to_string(core::to_count(wall_now));
        if (auto replaced = detail::move_folder(parent, folder, moved, damage); !replaced.ok()) {
            return replaced;
        }
        storage = file_storage::open(folder, host, new_storage_id);
    }
    if (!storage.ok()) {
        return storage.status();
    }
    if (auto marked = detail::forbid_creation(parent, *storage); !marked.ok()) {
        return marked;
    }
    opened_storage opened{.storage = std::move(*storage),
                          .damage = std::move(damage),
                          .damaged_folder = std::move(moved),
                          .truncation = {}};
    const auto& problem = opened.storage.problem();
    if (opened.storage.has_lost_entries()) {
        opened.damage = problem;
        opened.damaged_folder = folder;
    } else {
        opened.truncation = problem;
    }
    return opened;
}

} // namespace hawthornstall::control
