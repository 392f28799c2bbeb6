#pragma once

/// Command that merges the log lines about one request from the logs of several hosts.

#include "hawthornstallctl/commands.hpp"

#include <istream>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace hawthornstall::ctl {

/// The fields of a log line about the traced request; a missing field is empty.
struct trace_line {
    std::string time; ///< As logged, UTC.
    std::string host;
    std::string event;
    std::string peer;
    std::string age_ms;
    std::string detail;
};

/// Returns the JSON lines of `log` whose id is `id` and skips all other lines. Log collectors may
/// put text before the JSON; its last word then is the host name and takes precedence over `host`.
[[nodiscard]] std::vector<trace_line> read_trace(std::istream& log, std::string_view host,
                                                 std::string_view id);

/// Writes the lines about `id` from all `files` in order of time.
[[nodiscard]] exit_code run_trace(std::string_view id, std::span<const std::string> files,
                                  const command_options& options, command_output output);

} // namespace hawthornstall::ctl
