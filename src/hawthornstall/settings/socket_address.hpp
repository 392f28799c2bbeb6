#pragma once

/// IP address and port of a TCP endpoint.

#include "hawthornstall/settings/rules.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace hawthornstall::settings {

/// Endpoint given by IP address; host names are not supported, as the system resolves none.
struct socket_address {
    std::string ip;         ///< IPv4, or IPv6 without brackets.
    std::uint16_t port = 0; ///< 1 to 65535.

    bool operator==(const socket_address&) const = default;
};

/// Parses "192.0.2.1:7000" or "[2001:db8::1]:7000"; empty for anything else.
[[nodiscard]] std::optional<socket_address> parse_socket_address(std::string_view text);

/// Inverse of parse_socket_address.
[[nodiscard]] std::string to_string(const socket_address& address);

/// Text of `address` as above; an empty string when there is no address.
[[nodiscard]] std::string to_string(const std::optional<socket_address>& address);

namespace detail {

/// Whether parse_socket_address accepts `text`.
[[nodiscard]] bool is_socket_address(std::string_view text);

} // namespace detail

/// Rule for the addresses in settings.
inline constexpr text_rule address_rule{1, 64, &detail::is_socket_address,
                                        "an IP address and a port from 1 to 65535, for example "
                                        "192.0.2.1:7000 or [2001:db8::1]:7000"};

} // namespace hawthornstall::settings
