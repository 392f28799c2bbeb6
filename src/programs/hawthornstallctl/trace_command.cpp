#include "hawthornstallctl/trace_command.hpp"

#include "hawthornstallctl/row_table.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <filesystem>
#include <fstream>
#include <ostream>

namespace hawthornstall::ctl {
namespace detail {
namespace {

constexpr std::array trace_columns{
    table_column{"TIME", "time"},     table_column{"HOST", "host"},
    table_column{"EVENT", "event"},   table_column{"PEER", "peer"},
    table_column{"AGE MS", "age_ms"}, table_column{"DETAIL", "detail"}};

std::string field_text(const nlohmann::json& record, const char* field) {
    const auto found = record.find(field);
    if (found == record.end()) {
        return {};
    }
    return found->is_string() ? found->get<std::string>() : found->dump();
}

std::string_view last_word(std::string_view text) {
    const auto end = text.find_last_not_of(' ');
    if (end == std::string_view::npos) {
        return {};
    }
    const auto begin = text.find_last_of(' ', end);
    return text.substr(begin + 1, end - begin);
}

nlohmann::json to_rows(std::span<const trace_line> lines) {
    auto rows = nlohmann::json::array();
    for (const auto& line : lines) {
        rows.push_back({{"time", line.time},
                        {"host", line.host},
                        {"event", line.event},
                        {"peer", line.peer},
                        {"age_ms", line.age_ms},
                        {"detail", line.detail}});
    }
    return rows;
}

} // namespace
} // namespace detail

std::vector<trace_line> read_trace(std::istream& log, std::string_view host, std::string_view id) {
    std::vector<trace_line> lines;
    for (std::string text; std::getline(log, text);) {
        const auto begin = text.find('{');
        if (begin == std::string::npos) {
            continue;
        }
        const auto record = nlohmann::json::parse(text.substr(begin), nullptr, false);
        if (!record.is_object() || detail::field_text(record, "id") != id) {
            continue;
        }
        const auto collector_host = detail::last_word(std::string_view{text}.substr(0, begin));
        lines.push_back({.time = detail::field_text(record, "time"),
                         .host = std::string{collector_host.empty() ? host : collector_host},
                         .event = detail::field_text(record, "event"),
                         .peer = detail::field_text(record, "peer"),
                         .age_ms = detail::field_text(record, "age_ms"),
                         .detail = detail::field_text(record, "detail")});
    }
    return lines;
}

exit_code run_trace(std::string_view id, std::span<const std::string> files,
                    const command_options& options, command_output output) {
    std::vector<trace_line> lines;
    for (const auto& path : files) {
        std::ifstream file{path};
        if (!file) {
            output.err << "error: the log cannot be read\n  step: read " << path
                       << "\n  next: check the path\n";
            return exit_code::usage;
        }
        auto file_lines = read_trace(file, std::filesystem::path{path}.stem().string(), id);
        std::ranges::move(file_lines, std::back_inserter(lines));
    }
    if (lines.empty()) {
        output.err << "error: no line has id " << id
                   << "\n  step: trace\n  next: give the logs of all entry hosts; lines beyond the "
                      "rate of an event are left out\n";
        return exit_code::refused;
    }
    std::ranges::stable_sort(lines, {}, &trace_line::time);
    const auto rows = detail::to_rows(lines).dump();
    output.out << (options.json ? rows + "\n" : *format_table(rows, detail::trace_columns));
    return exit_code::ok;
}

} // namespace hawthornstall::ctl
