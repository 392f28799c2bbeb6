#include "hawthornstall/net/http_server.hpp"
#include "hawthornstall/net/scripted_server.hpp"
#include "hawthornstall/net/socket_address.hpp"

#include <doctest/doctest.h>

#include <array>
#include <cerrno>
#include <concepts>
#include <cstdint>
#include <string>
#include <string_view>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>
#include <vector>

namespace hawthornstall::net {
namespace {

constexpr core::duration_ms test_timeout{10'000};

const std::string request = "POST /v1/run HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nbody";

/// A client whose socket does not block, so that it can send more than the server reads.
class sending_client {
public:
    explicit sending_client(std::string_view address) : socket_(socket(AF_INET, SOCK_STREAM, 0)) {
        const auto parsed = parse_socket_address(address);
        REQUIRE(connect(socket_, parsed->data(), parsed->length) == 0);
    }
    ~sending_client() { close(socket_); }
    sending_client(const sending_client&) = delete;
    sending_client& operator=(const sending_client&) = delete;
    sending_client(sending_client&&) = delete;
    sending_client& operator=(sending_client&&) = delete;

    /// Returns how much was sent.
    std::size_t send(std::string_view text) const {
        const auto sent = ::send(socket_, text.data(), text.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
        return sent > 0 ? static_cast<std::size_t>(sent) : 0;
    }

    /// Whether the server has closed the connection. Answers are read and ignored.
    [[nodiscard]] bool is_closed() const {
        std::array<char, 4'096> answer{};
        ssize_t received = 1;
        while (received > 0) {
            received = recv(socket_, answer.data(), answer.size(), MSG_DONTWAIT);
        }
        return received == 0 || errno != EAGAIN;
    }

private:
    int socket_;
};

void run_loop_for(runtime::event_loop& loop, core::duration_ms duration) {
    const auto timer = loop.after(duration, [&] { loop.stop(); });
    loop.run();
}

/// A server that answers only when told to.
struct holding_server {
    explicit holding_server(const http_server_limits& limits)
        : server(loop, "127.0.0.1:0", limits,
                 [this](const http_request& item) { numbers.push_back(item.number); }) {
        server.on_client_gone([this](std::uint64_t number) { gone.push_back(number); });
        server.on_connection_limit([this](const due_close& due) { closed.push_back(due.reason); });
        REQUIRE(server.start().ok());
    }

    /// Runs the loop a little at a time until `done` returns true.
    template <std::predicate Done> void run_until(Done done) {
        for (int round = 0; round < 200 && !done(); ++round) {
            run_loop_for(loop, core::duration_ms{10});
        }
        CHECK(done());
    }

    runtime::event_loop loop;
    std::vector<std::uint64_t> numbers;
    std::vector<std::uint64_t> gone;
    std::vector<close_reason> closed;
    http_server server;
};

struct close_case {
    std::string_view name;
    std::string sent;
    std::string ahead;        ///< Sent once the server has handled `sent`.
    std::size_t requests = 0; ///< Handled by the server.
};

/// Leaves this process without a free descriptor until it is destroyed.
class descriptor_shortage {
public:
    descriptor_shortage() {
        REQUIRE(getrlimit(RLIMIT_NOFILE, &before_) == 0);
        const int first_free = dup(STDERR_FILENO);
        REQUIRE(first_free >= 0);
        close(first_free);
        const rlimit lowered{.rlim_cur = static_cast<rlim_t>(first_free),
                             .rlim_max = before_.rlim_max};
        REQUIRE(setrlimit(RLIMIT_NOFILE, &lowered) == 0);
    }
    ~descriptor_shortage() { (void)setrlimit(RLIMIT_NOFILE, &before_); }
    descriptor_shortage(const descriptor_shortage&) = delete;
    descriptor_shortage& operator=(const descriptor_shortage&) = delete;
    descriptor_shortage(descriptor_shortage&&) = delete;
    descriptor_shortage& operator=(descriptor_shortage&&) = delete;

private:
    rlimit before_{};
};

// Guards against a process that ends when it has no descriptor for a new connection, and against a
// server that accepts none after that.
TEST_CASE("a server that has run out of descriptors accepts connections again") {
    holding_server held{{}};
    const sending_client first{held.server.address()};
    const sending_client second{held.server.address()};
    {
        const descriptor_shortage shortage;
        run_loop_for(held.loop, core::duration_ms{50});
    }
    CHECK(first.send(request) == request.size());
    CHECK(second.send(request) == request.size());
    held.run_until([&] { return held.numbers.size() == 2; });
}

// Load: clients hold more than the limit together, and the one that holds the most is closed while
// its request waits, is incomplete, or is followed by more bytes. Guards against a process that
// ends because evhttp reads from a connection that waits for its answer, and against a connection
// that is never freed.
TEST_CASE("a connection that holds too much is closed in every state") {
    const std::string filler(20'000, 'x');
    const std::array cases{
        close_case{"incomplete headers", "POST / HTTP/1.1\r\nX-Long: " + filler, "", 0},
        close_case{"incomplete body",
                   "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 50000\r\n\r\n" + filler, "", 0},
        close_case{"endless size of a chunk",
                   "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n" +
                       std::string(20'000, '1'),
                   "", 0},
        close_case{"a request that waits",
                   "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 20000\r\n\r\n" + filler, "", 1},
        close_case{"a request that waits, with bytes sent ahead",
                   "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 20000\r\n\r\n" + filler,
                   request + filler, 1},
    };
    for (const auto& item : cases) {
        CAPTURE(item.name);
        holding_server host{{.max_header_bytes = 60'000,
                             .max_body_bytes = 60'000,
                             .connections = {.max_bytes = 30'000, .connection_bytes = 0}}};
        const sending_client client{host.server.address()};
        CHECK(client.send(item.sent) == item.sent.size());
        host.run_until([&] {
            return host.server.budget().held_bytes() >= item.sent.size() &&
                   host.numbers.size() == item.requests;
        });
        CHECK(client.send(item.ahead) == item.ahead.size());
        {
            const sending_client other{host.server.address()};
            other.send("POST / HTTP/1.1\r\nX-Long: " + filler.substr(0, 15'000));
            host.run_until(
                [&] { return host.server.budget().connections() == 1 && client.is_closed(); });
            CHECK_FALSE(other.is_closed());
        }
        host.run_until([&] { return host.server.budget().connections() == 0; });
        CHECK(host.closed == std::vector{close_reason::too_many_bytes});
        CHECK(host.numbers.size() == item.requests);
        CHECK(host.gone.size() == item.requests);
        for (const auto number : host.numbers) {
            host.server.answer(number, {.body = "{}"});
        }
        CHECK(host.server.open_requests() == 0);
        CHECK(host.server.budget().held_bytes() == 0);

        // Others are served as before.
        const sending_client caller{host.server.address()};
        caller.send(request);
        const auto handled = host.numbers.size() + 1;
        host.run_until([&] { return host.numbers.size() == handled; });
    }
}

// Guards against memory that grows with what a client sends ahead of the answers.
TEST_CASE("reading stops while a request waits and as much as another one has arrived") {
    holding_server host{{.max_header_bytes = 1'000, .max_body_bytes = 1'000}};
    const sending_client client{host.server.address()};
    std::size_t sent = 0;
    const std::string many(100'000, 'x');
    client.send(request);
    for (int round = 0; round < 100; ++round) {
        sent += client.send(many);
        run_loop_for(host.loop, core::duration_ms{1});
    }
    CHECK(sent > 20'000);
    CHECK(host.server.budget().held_bytes() < 10'000 + connection_limits{}.connection_bytes);
    CHECK(host.numbers.size() == 1);
}

// Guards against callers who cannot connect because other clients keep connections without a
// request.
TEST_CASE("an idle connection makes room for a new one") {
    holding_server host{{.connections = {.max_connections = 2}}};
    const sending_client waiting{host.server.address()};
    waiting.send(request);
    host.run_until([&] { return host.numbers.size() == 1; });
    const sending_client idle{host.server.address()};
    run_loop_for(host.loop, core::duration_ms{1'100});
    const sending_client caller{host.server.address()};
    caller.send(request);
    host.run_until([&] { return host.numbers.size() == 2 && idle.is_closed(); });
    CHECK_FALSE(waiting.is_closed());
    CHECK_FALSE(caller.is_closed());
}

// Guards against a request that is stuck because the limits became smaller while its body arrived.
TEST_CASE("limits can be replaced while a request arrives") {
    holding_server host{{.max_header_bytes = 1'000, .max_body_bytes = 200'000}};
    const sending_client client{host.server.address()};
    const std::string body(100'000, 'x');
    client.send("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 100000\r\n\r\n" +
                body.substr(0, 50'000));
    run_loop_for(host.loop, core::duration_ms{20});
    host.server.set_request_limits({.max_header_bytes = 1'000,
                                    .max_body_bytes = 2'000,
                                    .idle_time = core::duration_ms{5'000}});
    client.send(body.substr(50'000));
    // The body is refused, since it is beyond the limit that holds when it is complete.
    host.run_until([&] { return host.server.counts().refused == 1 || client.is_closed(); });
    CHECK(host.numbers.empty());
}

} // namespace
} // namespace hawthornstall::net
