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
    std::uint64_t least = 0;
    std::uint64_t most = 0;
    std::string_view unit;
};

/// Inclusive range of a number with a fraction.
struct real_range {
    double least = 0.0;
    double most = 0.0;
};

/// Accepted strings.
struct text_rule {
    std::size_t least_length = 1; ///< Bytes.
    std::size_t most_length = 1;  ///< Bytes.
    bool (*accepts)(std::string_view) = nullptr;
    std::string_view description; ///< For error messages, for example "an IP address and a port".
};

/// Inclusive range of the length of an array.
struct list_range {
    std::size_t least = 0;
    std::size_t most = 0;
};

namespace detail {

[[nodiscard]] bool is_name(std::string_view text);
[[nodiscard]] bool is_path(std::string_view text);

} // namespace detail

/// Names of hosts, zones, services, teams and callers. Submission identifiers allow the same
/// characters in a zone, and 64 characters leave room for their other parts.
inline constexpr text_rule name_rule{1, 64, &detail::is_name,
                                     "1 to 64 letters, digits, '-' or '_'"};

/// Files and folders.
inline constexpr text_rule path_rule{1, 1024, &detail::is_path,
                                     "a path of 1 to 1024 bytes without control characters"};

} // namespace hawthornstall::settings
