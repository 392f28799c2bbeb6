#pragma once

/// Conversion between "ip:port" texts and socket addresses.

#include <absl/status/statusor.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <sys/socket.h>

namespace hawthornstall::net {

/// An address in the form that the socket API takes.
struct socket_address {
    sockaddr_storage storage{};
    socklen_t length = sizeof(sockaddr_storage);

    [[nodiscard]] const sockaddr* data() const noexcept {
        return reinterpret_cast<const sockaddr*>(&storage); // NOLINT: socket API
    }
};

/// Host and port of an "ip:port" text.
struct host_and_port {
    std::string host;
    std::uint16_t port = 0;
};

/// Parses "ip:port" (IPv6 as "[ip]:port"). Host names are not resolved.
[[nodiscard]] absl::StatusOr<socket_address> parse_socket_address(std::string_view text);

/// Splits "ip:port" into host and port, with the same validation as parse_socket_address.
[[nodiscard]] absl::StatusOr<host_and_port> split_address(std::string_view text);

/// Local "ip:port" of the socket `descriptor`; empty on failure.
[[nodiscard]] std::string local_address(int descriptor);

/// Whether `text` is an address of this machine's loopback interface.
[[nodiscard]] bool is_loopback(std::string_view text);

} // namespace hawthornstall::net
