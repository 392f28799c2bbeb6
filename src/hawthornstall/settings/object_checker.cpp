#include "hawthornstall/settings/object_checker.hpp"

#include "hawthornstall/settings/json_document.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <set>
#include <utility>

namespace hawthornstall::settings {
namespace detail {

std::string describe_range(number_range range) {
    std::string text =
        "a whole number from " + std::to_string(range.min) + " to " + std::to_string(range.max);
    return range.unit.empty() ? text : text.append(" ").append(range.unit);
}

std::string describe_range(real_range range) {
    return "a number from " + nlohmann::json(range.min).dump() + " to " +
           nlohmann::json(range.max).dump();
}

std::string describe_range(list_range range) {
    return "an array of " + std::to_string(range.min) + " to " + std::to_string(range.max) +
           " elements";
}

/// Describes an invalid value for an error message. Numbers are quoted, but strings are not,
/// because a string may be a token.
std::string describe_value(const nlohmann::json& value) {
    if (value.is_number()) {
        return value.dump();
    }
    if (value.is_array()) {
        return "an array of " + std::to_string(value.size()) + " elements";
    }
    return std::string{"a value of type "} + value.type_name();
}

bool satisfies(const text_rule& rule, std::string_view text) {
    return text.size() >= rule.min_bytes && text.size() <= rule.max_bytes &&
           (rule.accepts == nullptr || rule.accepts(text));
}

} // namespace detail

object_checker::object_checker(const nlohmann::json& object, std::string path,
                               problem_list& problems)
    : object_(&object), path_(std::move(path)), problems_(&problems) {}

std::string object_checker::path_of(std::string_view key) const {
    return detail::child_path(path_, key);
}

bool object_checker::contains(std::string_view key) const {
    return object_->contains(std::string{key});
}

void object_checker::text(std::string_view key, presence need, const text_rule& rule,
                          std::string& value) {
    const auto* const found = find(key, need, rule.description);
    if (found == nullptr) {
        return;
    }
    if (!found->is_string() || !detail::satisfies(rule, found->get_ref<const std::string&>())) {
        report(path_of(key), rule.description, *found);
        return;
    }
    value = found->get<std::string>();
}

void object_checker::flag(std::string_view key, presence need, bool& value) {
    constexpr std::string_view expected = "true or false";
    const auto* const found = find(key, need, expected);
    if (found == nullptr) {
        return;
    }
    if (!found->is_boolean()) {
        report(path_of(key), expected, *found);
        return;
    }
    value = found->get<bool>();
}

void object_checker::real(std::string_view key, presence need, real_range range, double& value) {
    const auto expected = detail::describe_range(range);
    const auto* const found = find(key, need, expected);
    if (found == nullptr) {
        return;
    }
    if (!found->is_number() || found->get<double>() < range.min ||
        found->get<double>() > range.max) {
        report(path_of(key), expected, *found);
        return;
    }
    value = found->get<double>();
}

void object_checker::duration(std::string_view key, presence need, number_range range,
                              core::duration_ms& value) {
    if (const auto count = read_number(key, need, range)) {
        value = core::duration_ms{static_cast<core::duration_ms::rep>(*count)};
    }
}

void object_checker::texts(std::string_view key, presence need, list_range range,
                           const text_rule& rule, std::vector<std::string>& values) {
    const auto* const found = find_array(key, need, range);
    if (found == nullptr) {
        return;
    }
    std::vector<std::string> read;
    std::set<std::string_view> distinct;
    for (std::size_t index = 0; index < found->size(); ++index) {
        const auto& element = (*found)[index];
        const auto path = detail::child_path(path_of(key), index);
        if (!element.is_string() ||
            !detail::satisfies(rule, element.get_ref<const std::string&>())) {
            report(path, rule.description, element);
        } else if (!distinct.insert(element.get_ref<const std::string&>()).second) {
            problems_->add(path, "occurs more than once in the array");
        } else {
            read.push_back(element.get<std::string>());
        }
    }
    values = std::move(read);
}

void object_checker::report_unknown_keys() {
    for (const auto& [key, value] : object_->items()) {
        if (std::ranges::find(known_keys_, key) == known_keys_.end()) {
            problems_->add(path_of(key), "unknown key");
        }
    }
}

const nlohmann::json* object_checker::find(std::string_view key, presence need,
                                           std::string_view expected) {
    known_keys_.emplace_back(key);
    const auto found = object_->find(known_keys_.back());
    if (found != object_->end()) {
        return &*found;
    }
    if (need == presence::required) {
        problems_->add(path_of(key), std::string{"missing; expected "}.append(expected));
    }
    return nullptr;
}

const nlohmann::json* object_checker::find_array(std::string_view key, presence need,
                                                 list_range range) {
    const auto expected = detail::describe_range(range);
    const auto* const found = find(key, need, expected);
    if (found == nullptr) {
        return nullptr;
    }
    if (!found->is_array() || found->size() < range.min || found->size() > range.max) {
        report(path_of(key), expected, *found);
        return nullptr;
    }
    return found;
}

std::optional<std::uint64_t> object_checker::read_number(std::string_view key, presence need,
                                                         number_range range) {
    const auto expected = detail::describe_range(range);
    const auto* const found = find(key, need, expected);
    if (found == nullptr) {
        return std::nullopt;
    }
    // The library parses a negative number as a signed one, so it is refused here and cannot wrap
    // around to a large value.
    if (!found->is_number_unsigned() || found->get<std::uint64_t>() < range.min ||
        found->get<std::uint64_t>() > range.max) {
        report(path_of(key), expected, *found);
        return std::nullopt;
    }
    return found->get<std::uint64_t>();
}

std::optional<std::size_t> object_checker::read_choice(std::string_view key, presence need,
                                                       std::span<const std::string_view> names) {
    std::string expected;
    for (const auto name : names) {
        expected.append(expected.empty() ? "one of " : ", ").append(name);
    }
    const auto* const found = find(key, need, expected);
    if (found == nullptr) {
        return std::nullopt;
    }
    const auto name = found->is_string()
                          ? std::ranges::find(names, found->get_ref<const std::string&>())
                          : names.end();
    if (name == names.end()) {
        report(path_of(key), expected, *found);
        return std::nullopt;
    }
    return static_cast<std::size_t>(name - names.begin());
}

std::optional<object_checker> object_checker::read_object(std::string_view key, presence need) {
    const auto* const found = find(key, need, "an object");
    if (found == nullptr) {
        return std::nullopt;
    }
    if (!found->is_object()) {
        report(path_of(key), "an object", *found);
        return std::nullopt;
    }
    return object_checker{*found, path_of(key), *problems_};
}

std::vector<object_checker> object_checker::read_objects(std::string_view key, presence need,
                                                         list_range range) {
    std::vector<object_checker> children;
    const auto* const found = find_array(key, need, range);
    if (found == nullptr) {
        return children;
    }
    for (std::size_t index = 0; index < found->size(); ++index) {
        auto path = detail::child_path(path_of(key), index);
        if ((*found)[index].is_object()) {
            children.emplace_back((*found)[index], std::move(path), *problems_);
        } else {
            report(path, "an object", (*found)[index]);
        }
    }
    return children;
}

void object_checker::report(std::string_view path, std::string_view expected,
                            const nlohmann::json& found) {
    problems_->add(path, std::string{"expected "}
                             .append(expected)
                             .append(", found ")
                             .append(detail::describe_value(found)));
}

} // namespace hawthornstall::settings
