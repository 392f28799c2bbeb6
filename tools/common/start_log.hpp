#pragma once

/// Log of task starts and ends that a stand-in target writes and a checker reads.
///
/// One line per event: `start <wall ms> <task> <attempt>` or `end <wall ms> <task> <attempt>`.

#include "hawthornstall/core/ms_clock.hpp"

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace hawthornstall::tools {

/// Kind of an event.
enum class task_event : std::uint8_t { start, end };

/// The start of a task as its headers name it.
struct task_start {
    std::string_view task;    ///< X-Task-Id: names the submission and the task.
    std::string_view attempt; ///< X-Attempt.
};

/// Whether both parts are present and hold no blanks, so that a log line can be split again.
[[nodiscard]] bool is_loggable(const task_start& start);

/// Appends events to a file. Each line is one write, so that a killed process loses none.
class start_log {
public:
    /// Opens `path` for appending; an empty path writes nothing.
    [[nodiscard]] static absl::StatusOr<start_log> open(const std::string& path);

    ~start_log();
    start_log(start_log&& other) noexcept;
    start_log& operator=(start_log&& other) noexcept;
    start_log(const start_log&) = delete;
    start_log& operator=(const start_log&) = delete;

    /// Writes one event; false when the line could not be written whole.
    [[nodiscard]] bool write(task_event event, core::time_ms wall_time,
                             const task_start& start) const;

private:
    explicit start_log(int descriptor) noexcept : descriptor_(descriptor) {}

    int descriptor_ = -1;
};

/// Whether a task may start again under another attempt number.
enum class repeat_rule : std::uint8_t { refuse_repeats, allow_attempts };

/// Starts counted over the logs of all targets.
class start_count {
public:
    /// Adds the lines of one log. An error names the first line that cannot be read; a last line
    /// without its end is one that was being written when the process died.
    [[nodiscard]] absl::Status add(std::string_view log);

    /// One line for each violation: a task started more often than `rule` allows.
    [[nodiscard]] std::vector<std::string> violations(repeat_rule rule) const;

    [[nodiscard]] std::size_t starts() const noexcept { return starts_; }
    [[nodiscard]] std::size_t tasks() const noexcept { return attempts_.size(); }

private:
    [[nodiscard]] absl::Status add_line(std::string_view line);

    std::map<std::string, std::vector<std::string>, std::less<>> attempts_; ///< By task.
    std::size_t starts_ = 0;
};

} // namespace hawthornstall::tools
