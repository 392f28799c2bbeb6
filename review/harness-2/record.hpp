#pragma once

/// The record of a script: what was sent, answered and run.

#include <cstdint>
#include <fstream>
#include <mutex>
#include <string>
#include <vector>

namespace review {

/// Milliseconds of the steady clock.
[[nodiscard]] std::int64_t steady_ms();

/// Milliseconds since 1970.
[[nodiscard]] std::int64_t unix_ms();

/// A task that a minion has started.
struct task_start {
    std::string task{};
    std::string minion{};
    std::vector<std::string> labels{};
    std::int64_t at = 0;    ///< Steady time in ms.
    std::int64_t after = 0; ///< Time in ms since the minion started (again).
    std::int64_t ended = 0; ///< Steady time in ms; 0 while it runs.
};

/// Writes lines with the time since the start of the script, and keeps the starts of tasks. Safe to
/// use from several threads.
class record {
public:
    explicit record(const std::string& path);

    void write(const std::string& line);
    void task_started(task_start start);
    void task_ended(const std::string& task, const std::string& minion);
    [[nodiscard]] std::vector<task_start> starts();

    /// Whether a task of `job` has been started.
    [[nodiscard]] bool has_started(const std::string& job);

private:
    std::mutex mutex_;
    std::ofstream file_;
    std::int64_t begin_;
    std::vector<task_start> starts_;
};

} // namespace review
