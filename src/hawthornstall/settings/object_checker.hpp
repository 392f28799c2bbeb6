#pragma once

/// Reads the fields of one JSON object into typed values and collects what is wrong with them.

#include "hawthornstall/core/ms_clock.hpp"
#include "hawthornstall/settings/problem_list.hpp"
#include "hawthornstall/settings/rules.hpp"

#include <nlohmann/json_fwd.hpp>

#include <concepts>
#include <functional>
#include <limits>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace hawthornstall::settings {

/// Typed access to the fields of one JSON object by key. A field that is missing or invalid is
/// reported to the problem list, and its output argument keeps the value it had. The keys that have
/// been read are recorded for report_unknown_keys().
class object_checker {
public:
    /// `object` must be a JSON object and outlive the checker, as must `problems`.
    object_checker(const nlohmann::json& object, std::string path, problem_list& problems);

    /// Path of `key` in the document, for example "$.accepts.callers".
    [[nodiscard]] std::string path_of(std::string_view key) const;

    /// List to which checks across several fields report.
    [[nodiscard]] problem_list& problems() const noexcept { return *problems_; }

    /// Whether the object has `key`, with a valid value or not.
    [[nodiscard]] bool contains(std::string_view key) const;

    /// Reads a string.
    void text(std::string_view key, presence need, const text_rule& rule, std::string& value);

    /// Reads a boolean.
    void flag(std::string_view key, presence need, bool& value);

    /// Reads a number that may have a fraction.
    void real(std::string_view key, presence need, real_range range, double& value);

    /// Reads a whole number of milliseconds.
    void duration(std::string_view key, presence need, number_range range,
                  core::duration_ms& value);

    /// Reads a whole number. The range is cut to the values that `Number` can represent.
    template <std::unsigned_integral Number>
    void number(std::string_view key, presence need, number_range range, Number& value) {
        range.max = std::min<std::uint64_t>(range.max, std::numeric_limits<Number>::max());
        if (const auto read = read_number(key, need, range)) {
            value = static_cast<Number>(*read);
        }
    }

    /// Reads a string that names an enumerator. `names` holds the accepted strings, indexed by
    /// enumerator.
    template <class Enumeration>
    void choice(std::string_view key, presence need, std::span<const std::string_view> names,
                Enumeration& value) {
        if (const auto index = read_choice(key, need, names)) {
            value = static_cast<Enumeration>(*index);
        }
    }

    /// Reads an array of distinct strings.
    void texts(std::string_view key, presence need, list_range range, const text_rule& rule,
               std::vector<std::string>& values);

    /// Calls `read_fields` with a checker of the object at `key`, unless it is missing or has
    /// another type, and reports the keys that `read_fields` has not read.
    template <std::invocable<object_checker&> Reader>
    void object(std::string_view key, presence need, Reader read_fields) {
        if (auto child = read_object(key, need)) {
            std::invoke(read_fields, *child);
            child->report_unknown_keys();
        }
    }

    /// Calls `read_fields` with a checker of each object in the array at `key`, and reports the
    /// keys that it has not read.
    template <std::invocable<object_checker&> Reader>
    void objects(std::string_view key, presence need, list_range range, Reader read_fields) {
        for (auto& child : read_objects(key, need, range)) {
            std::invoke(read_fields, child);
            child.report_unknown_keys();
        }
    }

    /// Reports every key of the object that has not been read.
    void report_unknown_keys();

private:
    /// Records `key` as known and finds its value; null when it is missing, which is reported for
    /// a required key.
    [[nodiscard]] const nlohmann::json* find(std::string_view key, presence need,
                                             std::string_view expected);
    [[nodiscard]] const nlohmann::json* find_array(std::string_view key, presence need,
                                                   list_range range);
    [[nodiscard]] std::optional<std::uint64_t> read_number(std::string_view key, presence need,
                                                           number_range range);
    [[nodiscard]] std::optional<std::size_t> read_choice(std::string_view key, presence need,
                                                         std::span<const std::string_view> names);
    [[nodiscard]] std::optional<object_checker> read_object(std::string_view key, presence need);
    [[nodiscard]] std::vector<object_checker> read_objects(std::string_view key, presence need,
                                                           list_range range);
    void report(std::string_view path, std::string_view expected, const nlohmann::json& found);

    const nlohmann::json* object_;
    std::string path_;
    problem_list* problems_;
    std::vector<std::string> known_keys_;
};

} // namespace hawthornstall::settings
