#include "hawthornstall/settings/rules.hpp"

#include <algorithm>

namespace hawthornstall::settings::detail {

bool is_name(std::string_view text) {
    return std::ranges::all_of(text, [](char character) {
        return (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z') ||
               (character >= '0' && character <= '9') || character == '-' || character == '_';
    });
}

bool is_path(std::string_view text) {
    constexpr unsigned char first_printable = 0x20;
    return std::ranges::all_of(text, [](char character) {
        return static_cast<unsigned char>(character) >= first_printable;
    });
}

} // namespace hawthornstall::settings::detail
