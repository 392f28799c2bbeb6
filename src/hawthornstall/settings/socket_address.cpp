#include "hawthornstall/settings/socket_address.hpp"

#include <arpa/inet.h>
#include <array>
#include <charconv>
#include <system_error>

namespace hawthornstall::settings {
namespace detail {

bool is_ip(int family, const std::string& text) {
    std::array<unsigned char, sizeof(in6_addr)> parsed{};
    return inet_pton(family, text.c_str(), parsed.data()) == 1;
}

std::optional<std::uint16_t> parse_port(std::string_view text) {
    std::uint16_t port = 0;
    const char* const end = text.data() + text.size();
    const auto result = std::from_chars(text.data(), end, port);
    if (text.empty() || result.ec != std::errc{} || result.ptr != end || port == 0) {
        return std::nullopt;
    }
    return port;
}

bool is_socket_address(std::string_view text) {
    return parse_socket_address(text).has_value();
}

} // namespace detail

std::optional<socket_address> parse_socket_address(std::string_view text) {
    const auto colon = text.rfind(':');
    // inet_pton would ignore everything after a zero byte.
    if (colon == std::string_view::npos || text.find('\0') != std::string_view::npos) {
        return std::nullopt;
    }
    const auto port = detail::parse_port(text.substr(colon + 1));
    std::string_view host = text.substr(0, colon);
    const bool bracketed = host.size() > 2 && host.front() == '[' && host.back() == ']';
    if (bracketed) {
        host = host.substr(1, host.size() - 2);
    }
    std::string ip{host};
    if (!port || !detail::is_ip(bracketed ? AF_INET6 : AF_INET, ip)) {
        return std::nullopt;
    }
    return socket_address{.ip = std::move(ip), .port = *port};
}

std::string to_string(const socket_address& address) {
    const bool is_ipv6 = address.ip.find(':') != std::string::npos;
    return (is_ipv6 ? '[' + address.ip + ']' : address.ip) + ':' + std::to_string(address.port);
}

std::string to_string(const std::optional<socket_address>& address) {
    return address ? to_string(*address) : std::string{};
}

} // namespace hawthornstall::settings
