#pragma once

/// File operations with the durability that the configuration log needs.

#include <absl/status/status.h>
#include <absl/status/statusor.h>

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

// The functions below fail with kNotFound for a missing folder or file and with kUnavailable for
// every other error of the file system, unless their comments say otherwise.

/// Opens `path` for reading and writing, and creates it when it is missing.
[[nodiscard]] absl::StatusOr<file_descriptor> open_file(const std::string& path);

/// Whole content of `path`; empty when the file does not exist.
[[nodiscard]] absl::StatusOr<std::optional<std::string>> read_file(const std::string& path);

/// Writes all of `bytes` at `offset`.
[[nodiscard]] absl::Status write_at(const file_descriptor& file, std::string_view bytes,
                                    std::uint64_t offset);

/// Truncates the file to `size`. Durable on return, so that later writes cannot reach the disk
/// before the truncation.
[[nodiscard]] absl::Status truncate_file(const file_descriptor& file, std::uint64_t size);

/// Makes the content of the file durable.
[[nodiscard]] absl::Status sync_file(const file_descriptor& file);

/// Makes the directory entries of `folder` durable.
[[nodiscard]] absl::Status sync_folder(const std::string& folder);

/// Replaces `folder`/`name` by a file with `bytes`. After a crash the file is the old or the new
/// one; on return it is durably the new one.
[[nodiscard]] absl::Status replace_file(const std::string& folder, const std::string& name,
                                        std::string_view bytes);

/// Locks `folder`/lock for this process until the descriptor is closed. Fails with
/// kFailedPrecondition when another process holds the lock.
[[nodiscard]] absl::StatusOr<file_descriptor> lock_folder(const std::string& folder);

} // namespace hawthornstall::control
