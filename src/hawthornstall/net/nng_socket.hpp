#pragma once

/// RAII wrapper of an nng push or pull socket, used only by peer_links.

#include <absl/status/status.h>
#include <nng/nng.h>

#include <optional>
#include <string>
#include <string_view>

namespace hawthornstall::net::detail {

/// A received message, which owns its buffer.
class nng_message {
public:
    explicit nng_message(nng_msg* message) noexcept : message_(message) {}
    ~nng_message();
    nng_message(nng_message&& other) noexcept;
    nng_message& operator=(nng_message&&) = delete;
    nng_message(const nng_message&) = delete;
    nng_message& operator=(const nng_message&) = delete;

    [[nodiscard]] std::string_view body() const noexcept;

    /// Identifier of the TCP connection on which the message arrived.
    [[nodiscard]] std::uint32_t pipe() const noexcept;

private:
    nng_msg* message_;
};

/// Owns a socket. Closing it drops messages that were not sent yet.
class nng_socket_handle {
public:
    /// Opens a receive-only socket that listens on "ip:port".
    [[nodiscard]] absl::Status listen_pull(std::string_view address);

    /// Opens a send-only socket that connects to "ip:port" in the background.
    [[nodiscard]] absl::Status dial_push(std::string_view address);

    nng_socket_handle() = default;
    ~nng_socket_handle() { (void)close(); }
    nng_socket_handle(const nng_socket_handle&) = delete;
    nng_socket_handle& operator=(const nng_socket_handle&) = delete;
    nng_socket_handle(nng_socket_handle&&) = delete;
    nng_socket_handle& operator=(nng_socket_handle&&) = delete;

    /// Returns false when nng has not closed the socket within a second. Closing then continues in
    /// the background.
    bool close() noexcept;

    /// Queues `bytes` without blocking; fails when the queue is full or there is no connection.
    [[nodiscard]] absl::Status send(std::string_view bytes);

    /// Next received message, empty when there is none.
    [[nodiscard]] std::optional<nng_message> receive();

    /// Descriptor that is readable while messages are pending; -1 when there is none.
    [[nodiscard]] int receive_descriptor() const noexcept;

private:
    nng_socket socket_ = NNG_SOCKET_INITIALIZER;
};

/// Closes the connection with the given identifier.
void close_pipe(std::uint32_t pipe) noexcept;

} // namespace hawthornstall::net::detail
