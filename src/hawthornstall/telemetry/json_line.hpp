#pragma once

/// JSON form of log records.

#include "hawthornstall/core/ms_clock.hpp"
#include "hawthornstall/telemetry/log_event.hpp"

#include <cstdint>
#include <string>

namespace hawthornstall::telemetry {

/// Longest text of one field in bytes; longer text is cut and ends in "...".
constexpr std::size_t max_field_bytes = 1024;

/// Formats `event` as one line of JSON without the line feed. `time` is wall-clock time; `dropped`
/// is the number of earlier records of the same event that were not written, and is left out when
/// 0. Control characters and bytes outside ASCII are escaped one by one, so that text from a peer
/// cannot forge a record.
[[nodiscard]] std::string to_json_line(const log_event& event, core::time_ms time,
                                       std::uint64_t dropped);

} // namespace hawthornstall::telemetry
