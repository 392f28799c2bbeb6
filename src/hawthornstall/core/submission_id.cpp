#include "hawthornstall/core/submission_id.hpp"

#include "hawthornstall/core/error.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <optional>

namespace hawthornstall::core {
namespace detail {

absl::Status invalid_id_error(std::string_view problem) {
    return make_error(absl::StatusCode::kInvalidArgument,
                      {.step = "parse_submission_id", .peer = {}}, problem);
}

bool is_identifier_character(char character) {
    return (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z') ||
           (character >= '0' && character <= '9') || character == '-' || character == '_';
}

bool is_identifier(std::string_view text) {
    return !text.empty() && std::ranges::all_of(text, is_identifier_character);
}

template <class Number> std::optional<Number> parse_number(std::string_view text) {
    Number number{};
    const char* const end = text.data() + text.size();
    const auto result = std::from_chars(text.data(), end, number);
    if (text.empty() || result.ec != std::errc{} || result.ptr != end) {
        return std::nullopt;
    }
    return number;
}

} // namespace detail

absl::StatusOr<submission_id> parse_submission_id(std::string_view text) {
    if (text.size() > max_submission_id_length) {
        return detail::invalid_id_error("identifier is longer than 200 characters");
    }
    std::array<std::string_view, 4> parts;
    for (std::size_t index = 0; index < parts.size(); ++index) {
        const auto dot = text.find('.');
        const bool is_last = index + 1 == parts.size();
        if (is_last != (dot == std::string_view::npos)) {
            return detail::invalid_id_error(
                "identifier needs the form zone.generation.issued_ms.key");
        }
        parts.at(index) = text.substr(0, dot);
        text.remove_prefix(is_last ? text.size() : dot + 1);
    }
    const auto generation = detail::parse_number<std::uint64_t>(parts[1]);
    const auto issued = detail::parse_number<std::int64_t>(parts[2]);
    if (!detail::is_identifier(parts[0]) || !detail::is_identifier(parts[3])) {
        return detail::invalid_id_error("zone and key take letters, digits, '-' and '_'");
    }
    if (!generation || !issued || *issued < 0) {
        return detail::invalid_id_error("generation and issued_ms take whole numbers");
    }
    return submission_id{.zone = std::string{parts[0]},
                         .generation = *generation,
                         .issued = from_count(*issued),
                         .key = std::string{parts[3]}};
}

std::string to_string(const submission_id& id) {
    return id.zone + '.' + std::to_string(id.generation) + '.' +
           std::to_string(to_count(id.issued)) + '.' + id.key;
}

} // namespace hawthornstall::core
