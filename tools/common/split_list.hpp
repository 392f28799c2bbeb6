#pragma once

/// Parsing of lists in command-line flags.

#include <string>
#include <string_view>
#include <vector>

namespace hawthornstall::tools {

/// Returns the parts of a comma-separated list and skips empty ones.
[[nodiscard]] inline std::vector<std::string> split_list(std::string_view text) {
    std::vector<std::string> parts;
    while (!text.empty()) {
        const auto comma = text.find(',');
        if (comma != 0) {
            parts.emplace_back(text.substr(0, comma));
        }
        text.remove_prefix(comma == std::string_view::npos ? text.size() : comma + 1);
    }
    return parts;
}

} // namespace hawthornstall::tools
