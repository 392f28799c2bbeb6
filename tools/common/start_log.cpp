#include "start_log.hpp"

#include "hawthornstall/core/error.hpp"

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstring>
#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>
#include <utility>

namespace hawthornstall::tools {
namespace detail {

bool is_field(std::string_view text) {
    return !text.empty() && std::ranges::all_of(text, [](unsigned char character) {
        return character > ' ' && character != 0x7f;
    });
}

/// Splits at single blanks. All fields are empty when there are not exactly four.
std::array<std::string_view, 4> split_fields(std::string_view line) {
    std::array<std::string_view, 4> fields;
    for (std::size_t index = 0; index < fields.size(); ++index) {
        const auto blank = line.find(' ');
        if ((index + 1 == fields.size()) != (blank == std::string_view::npos)) {
            return {};
        }
        fields.at(index) = line.substr(0, blank);
        line.remove_prefix(std::min(line.size(), blank == line.npos ? blank : blank + 1));
    }
    return fields;
}

/// Ends a line that was cut when the writing process was killed. No field holds a control
/// character, so the mark cannot be the end of an event.
constexpr std::string_view cut_mark = "\x18\n";

/// Whether the file ends with a line without a line break.
bool ends_with_cut_line(int descriptor) {
    struct stat info {};
    char last = '\n';
    return fstat(descriptor, &info) == 0 && S_ISREG(info.st_mode) && info.st_size > 0 &&
           pread(descriptor, &last, 1, info.st_size - 1) == 1 && last != '\n';
}

absl::Status open_error(const std::string& path) {
    return core::make_error(absl::StatusCode::kUnavailable, {.step = "open_start_log", .peer = {}},
                            path + ": " + std::strerror(errno));
}

} // namespace detail

bool is_loggable(const task_start& start) {
    return detail::is_field(start.task) && detail::is_field(start.attempt);
}

absl::StatusOr<start_log> start_log::open(const std::string& path) {
    if (path.empty()) {
        return start_log{-1};
    }
    constexpr mode_t file_mode = 0644;
    start_log log{::open(path.c_str(), O_RDWR | O_APPEND | O_CREAT | O_CLOEXEC, file_mode)};
    if (log.descriptor_ < 0) {
        return detail::open_error(path);
    }
    if (detail::ends_with_cut_line(log.descriptor_) &&
        ::write(log.descriptor_, detail::cut_mark.data(), detail::cut_mark.size()) !=
            static_cast<ssize_t>(detail::cut_mark.size())) {
        return detail::open_error(path);
    }
    return log;
}

start_log::~start_log() {
    if (descriptor_ >= 0) {
        close(descriptor_);
    }
}

start_log::start_log(start_log&& other) noexcept
    : descriptor_(std::exchange(other.descriptor_, -1)) {}

start_log& start_log::operator=(start_log&& other) noexcept {
    std::swap(descriptor_, other.descriptor_);
    return *this;
}

bool start_log::write(task_event event, core::time_ms wall_time, const task_start& start) const {
    if (descriptor_ < 0) {
        return true;
    }
    std::string line{event == task_event::start ? "start " : "end "};
    line.append(std::to_string(core::to_count(wall_time))).append(" ");
    line.append(start.task).append(" ").append(start.attempt).append("\n");
    return ::write(descriptor_, line.data(), line.size()) == static_cast<ssize_t>(line.size());
}

absl::Status start_count::add(std::string_view log) {
    for (auto end = log.find('\n'); end != std::string_view::npos; end = log.find('\n')) {
        if (log.substr(0, end + 1).ends_with(detail::cut_mark)) {
            log.remove_prefix(end + 1);
            continue;
        }
        if (auto added = add_line(log.substr(0, end)); !added.ok()) {
            return added;
        }
        log.remove_prefix(end + 1);
    }
    return absl::OkStatus();
}

absl::Status start_count::add_line(std::string_view line) {
    const auto [event, time, task, attempt] = detail::split_fields(line);
    if ((event != "start" && event != "end") || !is_loggable({task, attempt})) {
        return core::make_error(absl::StatusCode::kInvalidArgument,
                                {.step = "read_start_log", .peer = {}},
                                "line cannot be read: " + std::string{line});
    }
    if (event == "start") {
        ++starts_;
        attempts_[std::string{task}].emplace_back(attempt);
    }
    return absl::OkStatus();
}

std::vector<std::string> start_count::violations(repeat_rule rule) const {
    std::vector<std::string> found;
    for (const auto& [task, attempts] : attempts_) {
        auto sorted = attempts;
        std::ranges::sort(sorted);
        const bool repeated = rule == repeat_rule::refuse_repeats
                                  ? sorted.size() > 1
                                  : std::ranges::adjacent_find(sorted) != sorted.end();
        if (repeated) {
            auto& line = found.emplace_back(task + " started " + std::to_string(sorted.size()) +
                                            " times, attempts");
            for (const auto& attempt : sorted) {
                line.append(" ").append(attempt);
            }
        }
    }
    return found;
}

} // namespace hawthornstall::tools
