#pragma once

/// Log of task starts and ends that stand-in targets write and check_starts reads.
///
/// One line per event: `start <wall ms> <task> <attempt>` or `end <wall ms> <task> <attempt>`.
/// A line that ends with the control character 0x18 was cut when the process was killed.

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

/// Kind of a logged event.
enum class task_event : std::uint8_t { start, end };

/// Identifies one start of a task by the headers of its request.
struct task_start {
    std::string_view task;    ///< X-Task-Id: submission and task.
    std::string_view attempt; ///< X-Attempt: attempt number.
};

/// Whether both fields are non-empty and free of blanks and control characters, so that a log line
/// can be split into its fields again.
[[nodiscard]] bool is_loggable(const task_start& start);

/// Appends events to a file. Each line is one unbuffered write, so that no line is lost when the
/// process is killed.
class start_log {
public:
    /// Opens `path` for appending, and marks a last line that was cut. With an empty path, events
    /// are discarded.
    [[nodiscard]] static absl::StatusOr<start_log> open(const std::string& path);

    ~start_log();
    start_log(start_log&& other) noexcept;
    start_log& operator=(start_log&& other) noexcept;
    start_log(const start_log&) = delete;
    start_log& operator=(const start_log&) = delete;

    /// Writes one event. Returns false when the line could not be written completely.
    [[nodiscard]] bool write(task_event event, core::time_ms wall_time,
                             const task_start& start) const;

private:
    explicit start_log(int descriptor) noexcept : descriptor_(descriptor) {}

    int descriptor_ = -1;
};

/// Whether a task may start again under another attempt number, as idempotent tasks may.
enum class repeat_rule : std::uint8_t { refuse_repeats, allow_attempts };

/// Counts task starts over the logs of all targets and finds tasks that started too often.
class start_count {
public:
    /// Adds the lines of one log. The error names the first line that cannot be parsed. A line that
    /// is marked as cut is ignored, and so is a last line without a line break: the process was
    /// killed before it had written the whole line, and so before it answered.
    [[nodiscard]] absl::Status add(std::string_view log);

    /// Returns one line for each task that started more often than `rule` allows.
    [[nodiscard]] std::vector<std::string> violations(repeat_rule rule) const;

    [[nodiscard]] std::size_t starts() const noexcept { return starts_; }
    [[nodiscard]] std::size_t tasks() const noexcept { return attempts_.size(); }

private:
    [[nodiscard]] absl::Status add_line(std::string_view line);

    std::map<std::string, std::vector<std::string>, std::less<>> attempts_; ///< By task.
    std::size_t starts_ = 0;
};

} // namespace hawthornstall::tools
