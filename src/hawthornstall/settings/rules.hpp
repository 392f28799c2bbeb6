#pragma once

/// Accepted ranges of values in documents.

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace hawthornstall::settings {

/// Whether a key may be missing; a missing optional key keeps the default.
enum class presence : std::uint8_t { required, optional };

/// Inclusive range of a whole number.
struct number_range {
    std::uint64_t min = 0;
    std::uint64_t max = 0;
    std::string_view unit; ///< For error messages; empty for a number without a unit.
};

/// Inclusive range of a number with a fraction.
struct real_range {
    double min = 0.0;
    double max = 0.0;
};

/// Accepted length and characters of a string.
struct text_rule {
    std::size_t min_bytes = 1;
    std::size_t max_bytes = 1;
    bool (*accepts)(std::string_view) = nullptr; ///< Further check; null for none.
    std::string_view description; ///< For error messages, for example "an IP address and a port".
};

/// Inclusive range of the length of an array.
struct list_range {
    std::size_t min = 0;
    std::size_t max = 0;
};

namespace detail {

/// Whether `text` has only ASCII letters, digits, '-' and '_'.
[[nodiscard]] bool is_name(std::string_view text);
/// Whether `text` has no control characters.
[[nodiscard]] bool is_path(std::string_view text);

} // namespace detail

/// Names of hosts, zones, services, teams and callers. A submission identifier contains a zone and
/// allows the same characters in it; the limit of 64 characters leaves enough of its length for
/// its other parts.
inline constexpr text_rule name_rule{1, 64, &detail::is_name,
                                     "1 to 64 letters, digits, '-' or '_'"};

/// Paths of files and folders.
inline constexpr text_rule path_rule{1, 1024, &detail::is_path,
                                     "a path of 1 to 1024 bytes without control characters"};

} // namespace hawthornstall::settings
