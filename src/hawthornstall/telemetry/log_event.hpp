#pragma once

/// Contents of a log record, independent of its output format.

#include "hawthornstall/core/log_level.hpp"

#include <concepts>
#include <cstdint>
#include <span>
#include <string_view>
#include <type_traits>
#include <variant>

namespace hawthornstall::telemetry {

/// An additional field of a record. Text is not copied and must outlive the call that logs it.
struct log_field {
    std::string_view key;
    std::variant<std::string_view, std::int64_t, std::uint64_t, double, bool> value;

    log_field(std::string_view name, std::string_view text) : key(name), value(text) {}
    log_field(std::string_view name, const char* text) : key(name), value(std::string_view{text}) {}
    log_field(std::string_view name, double number) : key(name), value(number) {}
    log_field(std::string_view name, bool flag) : key(name), value(flag) {}

    template <std::integral Number>
        requires(!std::same_as<Number, bool>)
    log_field(std::string_view name, Number number) : key(name) {
        if constexpr (std::signed_integral<Number>) {
            value = std::int64_t{number};
        } else {
            value = std::uint64_t{number};
        }
    }
};

/// One log record. Empty members are left out of the output.
struct log_event {
    core::log_level level = core::log_level::info;
    std::string_view name;               ///< Kind of event, for example "peer_unreachable".
    std::string_view step{};             ///< Processing step at which it arose.
    std::string_view peer{};             ///< Host, target or caller involved.
    std::string_view id{};               ///< Request or job identifier.
    std::span<const log_field> fields{}; ///< Keys must differ from the names of the members above.
};

} // namespace hawthornstall::telemetry
