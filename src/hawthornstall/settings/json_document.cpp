#include "hawthornstall/settings/json_document.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <set>

namespace hawthornstall::settings {
namespace detail {

std::string child_path(std::string_view parent, std::string_view key) {
    constexpr std::size_t max_shown_bytes = 64;
    std::string path{parent};
    path.push_back('.');
    for (const char character : key.substr(0, max_shown_bytes)) {
        path.push_back(is_name({&character, 1}) ? character : '?');
    }
    return key.size() > max_shown_bytes ? path.append("...") : path;
}

std::string child_path(std::string_view parent, std::size_t index) {
    return std::string{parent}.append("[").append(std::to_string(index)).append("]");
}

/// SAX handler that stops the parser at the nesting limit and reports duplicate keys, of which the
/// library would silently keep only the last one. It tracks the path of the value that is read.
class limit_checking_handler {
public:
    using number_integer_t = nlohmann::json::number_integer_t;
    using number_unsigned_t = nlohmann::json::number_unsigned_t;
    using number_float_t = nlohmann::json::number_float_t;
    using string_t = nlohmann::json::string_t;
    using binary_t = nlohmann::json::binary_t;

    limit_checking_handler(std::string_view text, problem_list& problems)
        : text_(text), problems_(&problems) {}

    bool null() { return value(); }
    bool boolean(bool /*value*/) { return value(); }
    bool number_integer(number_integer_t /*value*/) { return value(); }
    bool number_unsigned(number_unsigned_t /*value*/) { return value(); }
    bool number_float(number_float_t /*value*/, const string_t& /*text*/) { return value(); }
    bool string(string_t& /*value*/) { return value(); }
    bool binary(binary_t& /*value*/) { return value(); }
    bool start_object(std::size_t /*elements*/) { return open(false); }
    bool start_array(std::size_t /*elements*/) { return open(true); }
    bool end_object() { return close(); }
    bool end_array() { return close(); }

    bool key(string_t& key) {
        auto& level = levels_.back();
        level.member = child_path(level.path, key);
        if (!level.keys.insert(key).second) {
            problems_->add(level.member, "key occurs more than once in the object");
        }
        return true;
    }

    /// Reports only the position of the error, because the library's message quotes the input,
    /// which may contain a token.
    bool parse_error(std::size_t position, const std::string& /*token*/,
                     const nlohmann::json::exception& /*error*/) {
        const auto before = text_.substr(0, std::min(position, text_.size()));
        const auto line = 1 + std::ranges::count(before, '\n');
        problems_->add("$", "malformed JSON at line " + std::to_string(line) + ", byte " +
                                std::to_string(position) + " of the document");
        return false;
    }

private:
    /// An object or array that has been opened and not closed.
    struct level {
        std::string path;
        std::string member; ///< Path of the member that is being read.
        std::set<std::string> keys;
        std::size_t next_index = 0;
        bool is_array = false;
    };

    /// Path of the object or array that is being opened.
    std::string next_path() {
        if (levels_.empty()) {
            return "$";
        }
        auto& level = levels_.back();
        return level.is_array ? child_path(level.path, level.next_index++) : level.member;
    }

    bool value() {
        if (!levels_.empty() && levels_.back().is_array) {
            ++levels_.back().next_index;
        }
        return true;
    }

    bool open(bool is_array) {
        auto path = next_path();
        if (levels_.size() == max_document_depth) {
            problems_->add(path, "nested more deeply than " + std::to_string(max_document_depth) +
                                     " levels");
            return false;
        }
        levels_.push_back({.path = std::move(path),
                           .member = {},
                           .keys = {},
                           .next_index = 0,
                           .is_array = is_array});
        return true;
    }

    bool close() {
        levels_.pop_back();
        return true;
    }

    std::string_view text_;
    problem_list* problems_;
    std::vector<level> levels_;
};

} // namespace detail

json_document::json_document(std::string_view text, problem_list& problems) {
    if (text.size() > max_document_bytes) {
        problems.add("$", "document has " + std::to_string(text.size()) +
                              " bytes; expected at most " + std::to_string(max_document_bytes));
        return;
    }
    detail::limit_checking_handler handler{text, problems};
    if (!nlohmann::json::sax_parse(text, &handler)) {
        return;
    }
    auto root = std::make_unique<nlohmann::json>(nlohmann::json::parse(text));
    if (!root->is_object()) {
        problems.add("$",
                     std::string{"expected an object, found a value of type "} + root->type_name());
        return;
    }
    root_ = std::move(root);
}

json_document::~json_document() = default;
json_document::json_document(json_document&&) noexcept = default;
json_document& json_document::operator=(json_document&&) noexcept = default;

} // namespace hawthornstall::settings
