#pragma once

/// Process-wide output of log lines through Boost.Log.

#include "hawthornstall/core/log_level.hpp"

#include <cstdint>
#include <memory>
#include <ostream>
#include <string_view>

namespace hawthornstall::telemetry {

/// Writes lines to a stream in a task of its own, so that a slow disk or terminal never blocks
/// another task. At most one may exist in a process at a time. All members are safe from any
/// thread.
class log_output {
public:
    /// Maximum number of queued messages. Lines that find the queue full are dropped and counted.
    static constexpr std::size_t queue_capacity = 8192;

    log_output(std::shared_ptr<std::ostream> stream, core::log_level level);

    /// Writes the queued lines to the stream.
    ~log_output();
    log_output(const log_output&) = delete;
    log_output& operator=(const log_output&) = delete;
    log_output(log_output&&) = delete;
    log_output& operator=(log_output&&) = delete;

    /// Records below `level` are not written from now on.
    void set_level(core::log_level level) noexcept;
    [[nodiscard]] core::log_level level() const noexcept;

    /// Queues `line`, which must not contain a line feed, without waiting for the stream.
    void write(core::log_level level, std::string_view line);

    /// Blocks until the lines queued so far are in the stream. Returns false at once when the queue
    /// is full.
    bool flush();

    /// Lines dropped because the queue was full.
    [[nodiscard]] std::uint64_t overflow_count() const noexcept;

private:
    struct state;
    std::unique_ptr<state> state_;
};

/// Standard error of the process as a stream for log_output.
[[nodiscard]] std::shared_ptr<std::ostream> standard_error();

/// Standard output of the process as a stream for log_output.
[[nodiscard]] std::shared_ptr<std::ostream> standard_output();

} // namespace hawthornstall::telemetry
