#include "hawthornstall/settings/problem_list.hpp"

#include "hawthornstall/core/error.hpp"

#include <algorithm>

namespace hawthornstall::settings {

void problem_list::add(std::string_view path, std::string_view message) {
    if (kept_.size() == max_kept) {
        ++dropped_;
        dropped_paths_.emplace(path);
        return;
    }
    kept_.push_back({.path = std::string{path}, .message = std::string{message}});
}

void problem_list::add_conflict(std::initializer_list<std::string_view> paths,
                                std::string_view message) {
    if (std::ranges::none_of(paths, [this](std::string_view path) { return has(path); })) {
        add(*paths.begin(), message);
    }
}

bool problem_list::has(std::string_view path) const {
    return std::ranges::find(kept_, path, &problem::path) != kept_.end() ||
           dropped_paths_.contains(path);
}

absl::Status problem_list::to_status(std::string_view step) const {
    if (kept_.empty()) {
        return absl::OkStatus();
    }
    std::string text;
    for (const auto& [path, message] : kept_) {
        text.append(text.empty() ? "" : "\n").append(path).append(": ").append(message);
    }
    if (dropped_ > 0) {
        text.append("\nand ").append(std::to_string(dropped_)).append(" more problems");
    }
    return core::make_error(absl::StatusCode::kInvalidArgument, {.step = step, .peer = {}}, text);
}

} // namespace hawthornstall::settings
