#include "hawthornstall/telemetry/json_line.hpp"

#include <cmath>
#include <cstdio>
#include <string_view>

namespace hawthornstall::telemetry {
namespace detail {

/// Appends a character of a JSON string, escaped where necessary.
void append_character(std::string& line, char character) {
    constexpr unsigned char first_printable = 0x20;
    constexpr unsigned char first_beyond_ascii = 0x7f;
    constexpr std::string_view digits = "0123456789abcdef";
    const auto byte = static_cast<unsigned char>(character);
    if (character == '"' || character == '\\') {
        line.append({'\\', character});
    } else if (byte < first_printable || byte >= first_beyond_ascii) {
        line.append("\\u00").append({digits[byte >> 4U], digits[byte & 0xfU]});
    } else {
        line.push_back(character);
    }
}

void append_text(std::string& line, std::string_view text) {
    line.push_back('"');
    for (const char character : text.substr(0, max_field_bytes)) {
        append_character(line, character);
    }
    line.append(text.size() > max_field_bytes ? "...\"" : "\"");
}

void append_value(std::string& line, std::string_view text) {
    append_text(line, text);
}

void append_value(std::string& line, bool flag) {
    line.append(flag ? "true" : "false");
}

void append_value(std::string& line, double number) {
    // JSON cannot represent infinities and NaN.
    line.append(std::isfinite(number) ? std::to_string(number) : "null");
}

template <std::integral Number> void append_value(std::string& line, Number number) {
    line.append(std::to_string(number));
}

template <class Value>
void append_member(std::string& line, std::string_view key, const Value& value) {
    line.append(line.empty() ? "{" : ",");
    append_text(line, key);
    line.push_back(':');
    append_value(line, value);
}

void append_if_not_empty(std::string& line, std::string_view key, std::string_view text) {
    if (!text.empty()) {
        append_member(line, key, text);
    }
}

/// ISO 8601 in UTC with milliseconds.
std::string to_timestamp(core::time_ms time) {
    constexpr std::int64_t ms_per_second = 1000;
    const std::time_t seconds = core::to_count(time) / ms_per_second;
    std::tm parts{};
    gmtime_r(&seconds, &parts);
    std::string text(sizeof "2026-12-04T11:00:00", '\0');
    text.resize(std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%S", &parts));
    const auto fraction = std::to_string(ms_per_second + core::to_count(time) % ms_per_second);
    return text.append(".").append(fraction, 1).append("Z");
}

} // namespace detail

std::string to_json_line(const log_event& event, core::time_ms time, std::uint64_t dropped) {
    std::string line;
    detail::append_member(line, "time", std::string_view{detail::to_timestamp(time)});
    detail::append_member(line, "level", core::to_string(event.level));
    detail::append_member(line, "event", event.name);
    detail::append_if_not_empty(line, "step", event.step);
    detail::append_if_not_empty(line, "peer", event.peer);
    detail::append_if_not_empty(line, "id", event.id);
    for (const auto& field : event.fields) {
        std::visit([&](const auto& value) { detail::append_member(line, field.key, value); },
                   field.value);
    }
    if (dropped > 0) {
        detail::append_member(line, "dropped", dropped);
    }
    return line.append("}");
}

} // namespace hawthornstall::telemetry
