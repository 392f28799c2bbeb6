#include "hawthornstall/control/file_storage.hpp"

#include "hawthornstall/control/detail/file_storage_impl.hpp"
#include "hawthornstall/core/error.hpp"

#include <filesystem>
#include <system_error>
#include <utility>

namespace hawthornstall::control {

template class basic_file_storage<posix_files>;

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
        auto synced = posix_files::sync_folder(parent);
        synced.Update(posix_files::sync_folder(grandparent));
        return synced;
    };
    if (auto created = create_folder(); !created.ok()) {
        return created;
    }
    auto storage = file_storage::open(folder, host, new_storage_id);
    std::string moved;
    std::string damage;
    if (storage.status().code() == absl::StatusCode::kDataLoss) {
        damage = core::describe(storage.status());
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
