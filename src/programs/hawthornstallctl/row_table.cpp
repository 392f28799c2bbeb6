#include "hawthornstallctl/row_table.hpp"

#include "hawthornstall/core/error.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <iterator>
#include <vector>

namespace hawthornstall::ctl {
namespace detail {
namespace {

using nlohmann::json;

std::string format_value(const json& value) {
    std::string text;
    if (value.is_string()) {
        text = value.get<std::string>();
    } else if (value.is_array()) {
        for (const auto& item : value) {
            text.append(text.empty() ? "" : ",").append(format_value(item));
        }
    } else if (!value.is_null()) {
        text = value.dump();
    }
    std::ranges::replace_if(
        text, [](unsigned char character) { return character < ' ' || character == 0x7f; }, '?');
    return text.empty() ? "-" : text;
}

using table_line = std::vector<std::string>;

std::string align_columns(std::span<const table_line> lines) {
    std::string text;
    for (const auto& line : lines) {
        for (std::size_t column = 0; column < line.size(); ++column) {
            std::size_t width = 0;
            for (const auto& other : lines) {
                width = std::max(width, other[column].size());
            }
            const bool last = column + 1 == line.size();
            text.append(line[column]);
            text.append(last ? 0 : width - line[column].size() + 2, ' ');
        }
        text += '\n';
    }
    return text;
}

} // namespace
} // namespace detail

absl::StatusOr<std::string> format_table(std::string_view json,
                                         std::span<const table_column> columns) {
    const auto rows = nlohmann::json::parse(json.begin(), json.end(), nullptr, false);
    const bool is_table = rows.is_array() && std::ranges::all_of(rows, [](const auto& row) {
                              return row.is_object();
                          });
    if (!is_table) {
        return core::make_error(absl::StatusCode::kInternal, {.step = "read_answer", .peer = {}},
                                "the answer is not a list of rows");
    }
    std::vector<table_column> shown;
    std::ranges::copy_if(columns, std::back_inserter(shown), [&](const table_column& column) {
        return !column.is_optional || std::ranges::any_of(rows, [&](const auto& row) {
            return row.contains(column.field);
        });
    });
    std::vector<detail::table_line> lines(1);
    for (const auto& column : shown) {
        lines.front().emplace_back(column.title);
    }
    for (const auto& row : rows) {
        auto& line = lines.emplace_back();
        for (const auto& column : shown) {
            const auto field = row.find(column.field);
            line.push_back(field == row.end() ? "-" : detail::format_value(*field));
        }
    }
    return detail::align_columns(lines);
}

std::string format_document(std::string_view json) {
    constexpr int indent = 2;
    const auto document = nlohmann::ordered_json::parse(json.begin(), json.end(), nullptr, false);
    return document.is_discarded() ? std::string{json} : document.dump(indent);
}

std::string stated_version(std::string_view document) {
    const auto parsed = nlohmann::json::parse(document.begin(), document.end(), nullptr, false);
    if (!parsed.is_object() || !parsed.contains("version")) {
        return {};
    }
    const auto& version = parsed["version"];
    return version.is_number_unsigned() ? std::to_string(version.get<std::uint64_t>())
                                        : std::string{};
}

} // namespace hawthornstall::ctl
