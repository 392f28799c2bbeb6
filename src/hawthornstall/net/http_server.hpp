#pragma once

/// HTTP server on one event loop, implemented with evhttp.

#include "hawthornstall/core/ms_clock.hpp"
#include "hawthornstall/net/http_connections.hpp"
#include "hawthornstall/runtime/event_loop.hpp"

#include <absl/status/status.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

struct evconnlistener;
struct evhttp;
struct evhttp_bound_socket;
struct evhttp_connection;
struct evhttp_request;

namespace hawthornstall::net {

/// Limits of one server. A request beyond a limit gets a JSON error and does not reach the handler.
/// Far beyond it, evhttp answers with its own error page and closes the connection. It does so
/// without reading a body whose length is announced.
struct http_server_limits {
    std::size_t max_header_bytes = std::size_t{16} * 1024;
    std::size_t max_body_bytes = std::size_t{1024} * 1024;
    std::size_t max_open_requests = 10'000;
    core::duration_ms read_timeout{15'000}; ///< Inactivity that closes a connection.
    connection_limits connections{};        ///< Of all connections together.
};

/// One request. The views are valid only while the handler runs.
struct http_request {
    std::uint64_t number = 0; ///< Identifies the request in http_server::answer.
    std::string_view method;  ///< "GET", "POST", "PUT", "DELETE" or another HTTP method.
    std::string_view path;    ///< Path without the query.
    std::string_view query;   ///< Text after '?', still percent-encoded; empty when absent.
    std::string_view authorization;
    std::string_view content_type;
    std::string_view body;
    evhttp_request* native = nullptr; ///< For header().

    /// Value of the first header `name`, ignoring case; empty when absent.
    [[nodiscard]] std::string_view header(std::string_view name) const;
};

/// An answer. The views need to stay valid only until http_server::answer returns.
struct http_answer {
    int status = 200;
    std::string_view content_type = "application/json";
    std::string_view body{};
    core::duration_ms retry_after{}; ///< Sent as Retry-After in seconds, rounded up; 0 omits it.
};

/// Counters since the server was constructed.
struct http_server_counts {
    std::uint64_t requests = 0; ///< Passed to the handler.
    std::uint64_t refused = 0;  ///< Refused because of a limit or during close().
    std::uint64_t answered = 0; ///< Answers written completely.
    std::uint64_t dropped = 0;  ///< Answers whose client had disconnected.
};

/// Listens on one address. All members are accessed only on the thread of the event loop.
class http_server {
public:
    using handler = std::function<void(const http_request&)>;

    /// `address` is "ip:port"; port 0 lets the system assign one. Several servers may use one
    /// address (SO_REUSEPORT), one per thread. `handle` may answer during the call or later.
    http_server(runtime::event_loop& loop, std::string_view address, http_server_limits limits,
                handler handle);
    ~http_server();
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;
    http_server(http_server&&) = delete;
    http_server& operator=(http_server&&) = delete;

    /// Starts listening. An error contains the address.
    [[nodiscard]] absl::Status start();

    /// Address listened on, with the port that the system assigned.
    [[nodiscard]] std::string_view address() const noexcept { return address_; }

    /// Registers `on_disconnect`, which is called with the number of a request whose client
    /// disconnected before the answer. answer() must still be called for the request, which frees
    /// it.
    void on_client_gone(std::function<void(std::uint64_t)> on_disconnect) {
        disconnect_handler_ = std::move(on_disconnect);
    }

    /// Registers `observer`, which is told of each connection that is closed because of a limit.
    void on_connection_limit(http_connections::close_observer observer) {
        connections_->on_close(std::move(observer));
    }

    /// Registers `observer`, which is told of each refused request, with the status and the reason.
    void on_refusal(std::function<void(int, std::string_view)> observer) {
        refusal_observer_ = std::move(observer);
    }

    /// Replaces the limits on headers, bodies and inactivity, also for open connections.
    void set_request_limits(const request_limits& limits);

    /// Sends the answer to request `number`. Returns false, and counts a dropped answer, when the
    /// client is known to have disconnected; returns false for an unknown or already answered
    /// number.
    bool answer(std::uint64_t number, const http_answer& answer);

    /// Calls the handler again for an unanswered request. Returns false when its client is known to
    /// have disconnected, or for an unknown or already answered number.
    bool handle_again(std::uint64_t number);

    /// Drains the server: stops accepting connections, refuses new requests with 503 and calls
    /// `idle` once every open request is answered.
    void close(std::function<void()> idle);

    /// Requests whose answer has not been written completely.
    [[nodiscard]] std::size_t open_requests() const noexcept { return open_.size(); }

    [[nodiscard]] const http_server_counts& counts() const noexcept { return counts_; }

    /// What the open connections hold.
    [[nodiscard]] const connection_budget& budget() const noexcept {
        return connections_->budget();
    }

private:
    /// A request whose answer has not been written completely.
    struct open_request {
        std::uint64_t number = 0;
        evhttp_request* native = nullptr;
        bool client_disconnected = false;
        bool answer_sent = false;
    };
    struct evhttp_deleter {
        void operator()(evhttp* server) const noexcept;
    };

    // Callbacks of evhttp and its listener; `argument` of a request is the http_server.
    static void on_accept_error(evconnlistener* listener, void* argument);
    static void on_request(evhttp_request* native, void* argument);
    static void on_answer_written(evhttp_request* native, void* argument);

    void connection_closed(std::uint64_t connection);
    void answer_written(std::uint64_t connection);

    /// Refuses the request, or registers it and passes it to the handler.
    void receive(evhttp_request* native);
    [[nodiscard]] static http_request make_request_view(std::uint64_t number,
                                                        evhttp_request* native);
    /// Answers a request beyond a limit or during close() with an error; returns whether it did.
    [[nodiscard]] bool refuse_if_not_acceptable(evhttp_request* native);
    void remove_request(std::uint64_t number);
    /// Schedules the idle handler if the server is closing and has no open request.
    void report_idle();

    runtime::event_loop& loop_;
    std::string address_;
    http_server_limits limits_;
    handler handler_;
    std::unique_ptr<http_connections> connections_; ///< Outlives `server_`.
    std::unique_ptr<evhttp, evhttp_deleter> server_;
    evhttp_bound_socket* listener_ = nullptr;
    std::uint64_t last_number_ = 0;
    std::unordered_map<std::uint64_t, open_request> open_;
    /// The open request of each connection: evhttp handles one at a time.
    std::unordered_map<std::uint64_t, std::uint64_t> request_of_;
    bool destroyed_ = false;
    bool closing_ = false;
    std::function<void()> idle_handler_;
    std::function<void(std::uint64_t)> disconnect_handler_;
    std::function<void(int, std::string_view)> refusal_observer_;
    runtime::event_handle idle_event_;
    runtime::event_handle accept_again_event_;
    http_server_counts counts_;
};

} // namespace hawthornstall::net
