#pragma once

/// File operations with the durability that the configuration log needs.

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <concepts>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace hawthornstall::control {

/// Owns an open descriptor.
class file_descriptor {
public:
    file_descriptor() = default;
    explicit file_descriptor(int descriptor) noexcept : descriptor_(descriptor) {}
    ~file_descriptor();
    file_descriptor(file_descriptor&& other) noexcept;
    file_descriptor& operator=(file_descriptor&& other) noexcept;
    file_descriptor(const file_descriptor&) = delete;
    file_descriptor& operator=(const file_descriptor&) = delete;

    [[nodiscard]] int get() const noexcept { return descriptor_; }

private:
    int descriptor_ = -1;
};

/// Operations on files and folders. They fail with kNotFound for a missing folder or file and with
/// kUnavailable for every other error of the file system, unless their comments say otherwise.
///
/// - `open(path)`: for reading and writing; creates the file when it is missing.
/// - `create(path)`: as open(), and makes the file empty.
/// - `lock(path)`: as open(), and locks the file for this process until the result is destroyed.
///   Fails with kFailedPrecondition when another process holds the lock.
/// - `read(path)`: the whole content; empty when the file does not exist.
/// - `write_at(file, bytes, offset)`: writes all of `bytes`.
/// - `truncate(file, size)`: not durable before the next sync().
/// - `sync(file)`: makes the content of the file, and the entry of a new one, durable.
/// - `rename(from, to)`: not durable before the next sync_folder().
/// - `remove(path)`: removes the name, if there is one; not durable before the next sync_folder().
/// - `sync_folder(folder)`: makes the entries of the folder durable.
template <class Files>
concept file_operations = std::movable<typename Files::file> &&
    requires(Files files, const typename Files::file& file, const std::string& path,
             std::string_view bytes, std::uint64_t offset) {
    { files.open(path) } -> std::same_as<absl::StatusOr<typename Files::file>>;
    { files.create(path) } -> std::same_as<absl::StatusOr<typename Files::file>>;
    { files.lock(path) } -> std::same_as<absl::StatusOr<typename Files::file>>;
    { files.read(path) } -> std::same_as<absl::StatusOr<std::optional<std::string>>>;
    { files.write_at(file, bytes, offset) } -> std::same_as<absl::Status>;
    { files.truncate(file, offset) } -> std::same_as<absl::Status>;
    { files.sync(file) } -> std::same_as<absl::Status>;
    { files.rename(path, path) } -> std::same_as<absl::Status>;
    { files.remove(path) } -> std::same_as<absl::Status>;
    { files.sync_folder(path) } -> std::same_as<absl::Status>;
};

/// The file system of the host.
struct posix_files {
    using file = file_descriptor;

    [[nodiscard]] static absl::StatusOr<file> open(const std::string& path);
    [[nodiscard]] static absl::StatusOr<file> create(const std::string& path);
    [[nodiscard]] static absl::StatusOr<file> lock(const std::string& path);
    [[nodiscard]] static absl::StatusOr<std::optional<std::string>> read(const std::string& path);
    [[nodiscard]] static absl::Status write_at(const file& file, std::string_view bytes,
                                               std::uint64_t offset);
    [[nodiscard]] static absl::Status truncate(const file& file, std::uint64_t size);
    [[nodiscard]] static absl::Status sync(const file& file);
    [[nodiscard]] static absl::Status rename(const std::string& from, const std::string& to);
    [[nodiscard]] static absl::Status remove(const std::string& path);
    [[nodiscard]] static absl::Status sync_folder(const std::string& folder);
};

static_assert(file_operations<posix_files>);

/// Truncates the file to `size`. Durable on return, so that later writes cannot reach the disk
/// before the truncation.
template <file_operations Files>
[[nodiscard]] absl::Status truncate_synced(Files& files, const typename Files::file& file,
                                           std::uint64_t size) {
    auto truncated = files.truncate(file, size);
    return truncated.ok() ? files.sync(file) : truncated;
}

/// Replaces `folder`/`name` by a file with `bytes`. After a crash the file is the old or the new
/// one; on return it is durably the new one.
template <file_operations Files>
[[nodiscard]] absl::Status replace_file(Files& files, const std::string& folder,
                                        const std::string& name, std::string_view bytes) {
    const std::string path = folder + '/' + name;
    const std::string temporary = path + ".new";
    // After a loss of power during an earlier replacement both names may name the same file, and
    // creating the temporary one again would truncate it.
    if (auto removed = files.remove(temporary); !removed.ok()) {
        return removed;
    }
    {
        const auto file = files.create(temporary);
        if (!file.ok()) {
            return file.status();
        }
        if (auto written = files.write_at(*file, bytes, 0); !written.ok()) {
            return written;
        }
        if (auto synced = files.sync(*file); !synced.ok()) {
            return synced;
        }
    }
    if (auto renamed = files.rename(temporary, path); !renamed.ok()) {
        return renamed;
    }
    return files.sync_folder(folder);
}

} // namespace hawthornstall::control
