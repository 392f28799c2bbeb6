#pragma once

/// Parsing of a JSON text within fixed limits, and the check of a whole document.

#include "hawthornstall/settings/object_checker.hpp"

#include <nlohmann/json_fwd.hpp>

#include <concepts>
#include <memory>
#include <string>
#include <string_view>

namespace hawthornstall::settings {

/// Largest accepted document. The largest settings file, with hundreds of hosts and tokens, has
/// about a tenth of this size.
constexpr std::size_t max_document_bytes = std::size_t{1} * 1024 * 1024;

/// Deepest accepted nesting of objects and arrays; settings and documents use 3 levels.
constexpr std::size_t max_document_depth = 16;

namespace detail {

/// Path of a member; characters outside names are shown as '?' and long keys are cut, so that an
/// unknown key cannot forge a line of a log or a report.
[[nodiscard]] std::string child_path(std::string_view parent, std::string_view key);

/// Path of an array element.
[[nodiscard]] std::string child_path(std::string_view parent, std::size_t index);

} // namespace detail

/// A parsed document whose root is an object.
class json_document {
public:
    /// Reports malformed JSON, exceeded limits and duplicate keys to `problems`. When the result
    /// is not usable(), nothing can be read from it.
    json_document(std::string_view text, problem_list& problems);
    ~json_document();
    json_document(json_document&&) noexcept;
    json_document& operator=(json_document&&) noexcept;
    json_document(const json_document&) = delete;
    json_document& operator=(const json_document&) = delete;

    /// Whether the text was parsed and its root is an object.
    [[nodiscard]] bool usable() const noexcept { return root_ != nullptr; }

    /// Root object. The document must be usable().
    [[nodiscard]] const nlohmann::json& root() const noexcept { return *root_; }

private:
    std::unique_ptr<nlohmann::json> root_;
};

/// Parses `text`, calls `read_fields` with the object_checker of the root, and returns all problems
/// in one status, whose processing step is `step`.
template <std::invocable<object_checker&> Reader>
[[nodiscard]] absl::Status check_document(std::string_view text, std::string_view step,
                                          Reader read_fields) {
    problem_list problems;
    const json_document document{text, problems};
    if (document.usable()) {
        object_checker root{document.root(), "$", problems};
        std::invoke(read_fields, root);
        root.report_unknown_keys();
    }
    return problems.to_status(step);
}

} // namespace hawthornstall::settings
