#pragma once

/// Severity of log records.

#include <array>
#include <cstdint>
#include <string_view>

namespace hawthornstall::core {

/// Severities, from the most to the least verbose.
enum class log_level : std::uint8_t { debug, info, warning, error };

/// Names of the levels in settings and log records, indexed by level.
inline constexpr std::array<std::string_view, 4> log_level_names{"debug", "info", "warning",
                                                                 "error"};

/// Returns the name of `level` in settings and log records.
[[nodiscard]] constexpr std::string_view to_string(log_level level) noexcept {
    return log_level_names.at(static_cast<std::size_t>(level));
}

} // namespace hawthornstall::core
