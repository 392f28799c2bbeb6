#include "hawthornstall/control/data_files.hpp"

#include "hawthornstall/core/error.hpp"

#include <cerrno>
#include <cstdio>
#include <fcntl.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <system_error>
#include <unistd.h>
#include <utility>

namespace hawthornstall::control {
namespace detail {

constexpr mode_t file_mode = 0640;

absl::Status io_error(std::string_view step, const std::string& path) {
    const int error = errno;
    const auto code =
        error == ENOENT ? absl::StatusCode::kNotFound : absl::StatusCode::kUnavailable;
    return core::make_error(code, {.step = step, .peer = {}},
                            path + ": " + std::generic_category().message(error));
}

absl::StatusOr<file_descriptor> open_with(const std::string& path, int flags) {
    const int descriptor = ::open(path.c_str(), flags | O_CLOEXEC, file_mode);
    if (descriptor < 0) {
        return io_error("open_file", path);
    }
    return file_descriptor{descriptor};
}

} // namespace detail

file_descriptor::~file_descriptor() {
    if (descriptor_ >= 0) {
        ::close(descriptor_);
    }
}

file_descriptor::file_descriptor(file_descriptor&& other) noexcept
    : descriptor_(std::exchange(other.descriptor_, -1)) {}

file_descriptor& file_descriptor::operator=(file_descriptor&& other) noexcept {
    std::swap(descriptor_, other.descriptor_);
    return *this;
}

absl::StatusOr<file_descriptor> posix_files::open(const std::string& path) {
    return detail::open_with(path, O_RDWR | O_CREAT);
}

absl::StatusOr<file_descriptor> posix_files::create(const std::string& path) {
    return detail::open_with(path, O_RDWR | O_CREAT | O_TRUNC);
}

absl::StatusOr<std::optional<std::string>> posix_files::read(const std::string& path) {
    auto file = detail::open_with(path, O_RDONLY);
    if (!file.ok()) {
        if (file.status().code() == absl::StatusCode::kNotFound) {
            return std::optional<std::string>{};
        }
        return file.status();
    }
    struct stat info {};
    if (::fstat(file->get(), &info) != 0) {
        return detail::io_error("read_file", path);
    }
    std::string bytes(static_cast<std::size_t>(info.st_size), '\0');
    std::size_t done = 0;
    while (done < bytes.size()) {
        const auto count = ::pread(file->get(), bytes.data() + done, bytes.size() - done,
                                   static_cast<off_t>(done));
        if (count == 0) {
            break;
        }
        if (count < 0 && errno != EINTR) {
            return detail::io_error("read_file", path);
        }
        done += count > 0 ? static_cast<std::size_t>(count) : 0;
    }
    bytes.resize(done);
    return std::optional{std::move(bytes)};
}

absl::Status posix_files::write_at(const file_descriptor& file, std::string_view bytes,
                                   std::uint64_t offset) {
    while (!bytes.empty()) {
        const auto count =
            ::pwrite(file.get(), bytes.data(), bytes.size(), static_cast<off_t>(offset));
        if (count < 0 && errno != EINTR) {
            return detail::io_error("write_file", "data file");
        }
        const auto done = count > 0 ? static_cast<std::size_t>(count) : 0;
        bytes.remove_prefix(done);
        offset += done;
    }
    return absl::OkStatus();
}

absl::Status posix_files::truncate(const file_descriptor& file, std::uint64_t size) {
    return ::ftruncate(file.get(), static_cast<off_t>(size)) == 0
               ? absl::OkStatus()
               : detail::io_error("truncate_file", "data file");
}

absl::Status posix_files::sync(const file_descriptor& file) {
    // fdatasync also writes the file size, which is all the metadata that reading needs.
    return ::fdatasync(file.get()) == 0 ? absl::OkStatus()
                                        : detail::io_error("sync_file", "data file");
}

absl::Status posix_files::rename(const std::string& from, const std::string& to) {
    return std::rename(from.c_str(), to.c_str()) == 0 ? absl::OkStatus()
                                                      : detail::io_error("replace_file", to);
}

absl::Status posix_files::remove(const std::string& path) {
    return ::unlink(path.c_str()) == 0 || errno == ENOENT ? absl::OkStatus()
                                                          : detail::io_error("remove_file", path);
}

absl::Status posix_files::sync_folder(const std::string& folder) {
    const auto opened = detail::open_with(folder, O_RDONLY | O_DIRECTORY);
    if (!opened.ok()) {
        return opened.status();
    }
    return ::fsync(opened->get()) == 0 ? absl::OkStatus() : detail::io_error("sync_folder", folder);
}

absl::StatusOr<file_descriptor> posix_files::lock(const std::string& path) {
    auto file = open(path);
    if (file.ok() && ::flock(file->get(), LOCK_EX | LOCK_NB) != 0) {
        return core::make_error(absl::StatusCode::kFailedPrecondition,
                                {.step = "lock_folder", .peer = {}},
                                path + ": another process uses this data folder");
    }
    return file;
}

} // namespace hawthornstall::control
