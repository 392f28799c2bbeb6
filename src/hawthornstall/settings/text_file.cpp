#include "hawthornstall/settings/text_file.hpp"

#include "hawthornstall/core/error.hpp"
#include "hawthornstall/settings/json_document.hpp"

#include <filesystem>
#include <fstream>

namespace hawthornstall::settings {

absl::StatusOr<std::string> read_text_file(std::string_view path) {
    const core::error_origin origin{.step = "read_settings_file", .peer = path};
    std::ifstream file{std::string{path}, std::ios::binary};
    if (!file) {
        return core::make_error(absl::StatusCode::kNotFound, origin, "file cannot be opened");
    }
    // Reading one byte more than allowed detects a file that is too large, even if its size cannot
    // be known in advance.
    std::string text(max_document_bytes + 1, '\0');
    file.read(text.data(), static_cast<std::streamsize>(text.size()));
    if (file.bad()) {
        return core::make_error(absl::StatusCode::kDataLoss, origin, "file cannot be read");
    }
    text.resize(static_cast<std::size_t>(file.gcount()));
    if (text.size() > max_document_bytes) {
        return core::make_error(absl::StatusCode::kResourceExhausted, origin, "file exceeds 1 MiB");
    }
    return text;
}

std::string resolve_relative_to(std::string_view path, std::string_view file) {
    return (std::filesystem::path{path}.parent_path() / file).string();
}

} // namespace hawthornstall::settings
