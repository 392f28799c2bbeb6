#pragma once

/// Free loopback addresses for tests.

#include <array>
#include <cstddef>
#include <netinet/in.h>
#include <stdexcept>
#include <string>
#include <sys/socket.h>
#include <unistd.h>

namespace hawthornstall::testing {
namespace detail {

/// Binds a socket to an ephemeral port and stores its address. While the returned socket is open,
/// the port is not assigned again.
inline int bind_any_port(std::string& address) {
    const int descriptor = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in name{};
    name.sin_family = AF_INET;
    name.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t length = sizeof name;
    auto* const generic = reinterpret_cast<sockaddr*>(&name);
    if (bind(descriptor, generic, length) != 0 || getsockname(descriptor, generic, &length) != 0) {
        close(descriptor);
        throw std::runtime_error{"no free loopback port"};
    }
    address = "127.0.0.1:" + std::to_string(ntohs(name.sin_port));
    return descriptor;
}

} // namespace detail

/// Returns `Count` distinct "ip:port" addresses. They were free when this function was called, but
/// another process may bind them before the test does.
template <std::size_t Count> std::array<std::string, Count> free_addresses() {
    std::array<std::string, Count> addresses;
    std::array<int, Count> descriptors{};
    for (std::size_t index = 0; index < Count; ++index) {
        descriptors.at(index) = detail::bind_any_port(addresses.at(index));
    }
    for (const int descriptor : descriptors) {
        close(descriptor);
    }
    return addresses;
}

} // namespace hawthornstall::testing
