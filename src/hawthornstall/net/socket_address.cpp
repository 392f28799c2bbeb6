#include "hawthornstall/net/socket_address.hpp"

#include "hawthornstall/core/error.hpp"

#include <array>
#include <charconv>
#include <cstring>
#include <netdb.h>
#include <optional>

namespace hawthornstall::net {
namespace detail {

std::optional<host_and_port> split(std::string_view text) {
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return std::nullopt;
    }
    auto host = text.substr(0, colon);
    const auto port = text.substr(colon + 1);
    if (host.starts_with('[') && host.ends_with(']')) {
        host = host.substr(1, host.size() - 2);
    }
    std::uint16_t number = 0;
    const char* const end = port.data() + port.size();
    const auto parsed = std::from_chars(port.data(), end, number);
    if (host.empty() || parsed.ec != std::errc{} || parsed.ptr != end) {
        return std::nullopt;
    }
    return host_and_port{.host = std::string{host}, .port = number};
}

absl::StatusOr<host_and_port> split(const sockaddr* address, socklen_t length) {
    std::array<char, NI_MAXHOST> host{};
    std::array<char, NI_MAXSERV> port{};
    if (getnameinfo(address, length, host.data(), host.size(), port.data(), port.size(),
                    NI_NUMERICHOST | NI_NUMERICSERV) != 0) {
        return absl::InvalidArgumentError("socket address has no numeric form");
    }
    return host_and_port{.host = host.data(),
                         .port = static_cast<std::uint16_t>(std::stoul(port.data()))};
}

} // namespace detail

absl::StatusOr<socket_address> parse_socket_address(std::string_view text) {
    const auto parts = detail::split(text);
    addrinfo hints{};
    hints.ai_flags = AI_NUMERICHOST | AI_NUMERICSERV;
    hints.ai_socktype = SOCK_STREAM;
    addrinfo* found = nullptr;
    if (!parts || getaddrinfo(parts->host.c_str(), std::to_string(parts->port).c_str(), &hints,
                              &found) != 0) {
        return core::make_error(absl::StatusCode::kInvalidArgument,
                                {.step = "parse_address", .peer = text},
                                "address needs the form ip:port");
    }
    socket_address address;
    std::memcpy(&address.storage, found->ai_addr, found->ai_addrlen);
    address.length = found->ai_addrlen;
    freeaddrinfo(found);
    return address;
}

absl::StatusOr<host_and_port> split_address(std::string_view text) {
    const auto address = parse_socket_address(text);
    if (!address.ok()) {
        return address.status();
    }
    return detail::split(address->data(), address->length);
}

std::string local_address(int descriptor) {
    socket_address address;
    auto* const storage = reinterpret_cast<sockaddr*>(&address.storage); // NOLINT: socket API
    if (getsockname(descriptor, storage, &address.length) != 0) {
        return {};
    }
    const auto parts = detail::split(storage, address.length);
    if (!parts.ok()) {
        return {};
    }
    const bool is_v6 = parts->host.find(':') != std::string::npos;
    return (is_v6 ? '[' + parts->host + ']' : parts->host) + ':' + std::to_string(parts->port);
}

bool is_loopback(std::string_view text) {
    const auto parts = split_address(text);
    return parts.ok() && (parts->host.starts_with("127.") || parts->host == "::1");
}

} // namespace hawthornstall::net
