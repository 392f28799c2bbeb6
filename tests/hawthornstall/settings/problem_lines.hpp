#pragma once

/// Test helper that splits the error message of a document check into its lines.

#include <absl/status/status.h>

#include <algorithm>
#include <string>
#include <vector>

namespace hawthornstall::settings {

/// Lines of the message, one "path: message" for each problem.
[[nodiscard]] inline std::vector<std::string> problem_lines(const absl::Status& status) {
    std::vector<std::string> lines;
    const std::string text{status.message()};
    for (std::size_t begin = 0; begin < text.size();) {
        const auto end = std::min(text.find('\n', begin), text.size());
        lines.push_back(text.substr(begin, end - begin));
        begin = end + 1;
    }
    return lines;
}

} // namespace hawthornstall::settings
