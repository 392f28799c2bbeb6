#pragma once

/// A TCP server for tests that answers every request with the same bytes.

#include "hawthornstall/net/socket_address.hpp"
#include "hawthornstall/runtime/event_loop.hpp"

#include <array>
#include <cstddef>
#include <map>
#include <stdexcept>
#include <string>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace hawthornstall::net {

/// How the server reacts to a request.
struct server_script {
    std::string reply; ///< Written to the socket; empty for no answer.
    bool close_after_reply = false;
    std::size_t answers_per_connection =
        0; ///< Requests answered per connection before it stops answering; 0: no limit.
};

/// Counts connections and requests. Each request must arrive in a single read.
class scripted_server {
public:
    scripted_server(runtime::event_loop& loop, server_script script)
        : loop_(loop), script_(std::move(script)),
          listener_(socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0)) {
        const auto any_port = parse_socket_address("127.0.0.1:0");
        if (bind(listener_, any_port->data(), any_port->length) != 0 ||
            listen(listener_, 16) != 0) {
            throw std::runtime_error{"scripted_server cannot listen on 127.0.0.1"};
        }
        accept_event_ = loop_.on_readable(listener_, [this] { accept_one(); });
    }

    ~scripted_server() {
        close(listener_);
        for (const auto& [descriptor, client] : clients_) {
            close(descriptor);
        }
    }
    scripted_server(const scripted_server&) = delete;
    scripted_server& operator=(const scripted_server&) = delete;
    scripted_server(scripted_server&&) = delete;
    scripted_server& operator=(scripted_server&&) = delete;

    [[nodiscard]] std::string address() const { return local_address(listener_); }

    bool close_next = false; ///< Closes the connection at the next request without an answer.
    std::size_t connections = 0;
    std::size_t requests = 0; ///< Pings excluded.
    std::size_t pings = 0;

private:
    struct client_state {
        runtime::event_handle event;
        std::size_t requests = 0;
    };

    void accept_one() {
        const int descriptor = accept4(listener_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (descriptor >= 0) {
            ++connections;
            clients_[descriptor].event =
                loop_.on_readable(descriptor, [this, descriptor] { read_from(descriptor); });
        }
    }

    void read_from(int descriptor) {
        std::array<char, 65536> buffer{};
        const auto received = recv(descriptor, buffer.data(), buffer.size(), 0);
        auto& client = clients_[descriptor];
        if (received > 0) {
            const std::string_view text{buffer.data(), static_cast<std::size_t>(received)};
            ++client.requests;
            ++(text.starts_with("GET /v1/ping") ? pings : requests);
            if (script_.answers_per_connection != 0 &&
                client.requests > script_.answers_per_connection) {
                return;
            }
            if (!std::exchange(close_next, false)) {
                [[maybe_unused]] const auto sent =
                    ::send(descriptor, script_.reply.data(), script_.reply.size(), MSG_NOSIGNAL);
                if (!script_.close_after_reply) {
                    return;
                }
            }
        }
        clients_.erase(descriptor);
        close(descriptor);
    }

    runtime::event_loop& loop_;
    server_script script_;
    int listener_;
    runtime::event_handle accept_event_;
    std::map<int, client_state> clients_;
};

/// Runs `loop` until it is stopped or `limit` has passed; returns false on the time limit.
inline bool run_for(runtime::event_loop& loop, core::duration_ms limit) {
    bool expired = false;
    const auto guard = loop.after(limit, [&] {
        expired = true;
        loop.stop();
    });
    loop.run();
    return !expired;
}

} // namespace hawthornstall::net
