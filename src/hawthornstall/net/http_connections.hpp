#pragma once

/// The connections of an evhttp server: what they hold, and the closing of those that hold too
/// much.

#include "hawthornstall/core/ms_clock.hpp"
#include "hawthornstall/net/connection_budget.hpp"
#include "hawthornstall/runtime/event_loop.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <unordered_map>

struct bufferevent;
struct evbuffer;
struct evbuffer_cb_entry;
struct evbuffer_cb_info;
struct event;
struct event_base;
struct evhttp;
struct evhttp_connection;
struct evhttp_request;

namespace hawthornstall::net {

/// Limits of evhttp on one connection.
struct request_limits {
    std::size_t max_header_bytes = 0;
    std::size_t max_body_bytes = 0;
    core::duration_ms idle_time{}; ///< Inactivity that closes a connection.
};

/// Keeps account of the connections that an evhttp server accepts. Reading from a connection stops
/// while the unhandled input amounts to the maximum size of one request, so a client that sends
/// requests ahead is slowed down. All members are accessed only on the thread of the event loop.
class http_connections {
public:
    /// Is told which connection was closed by its client or by this process.
    using closed_handler = std::function<void(std::uint64_t)>;
    /// Is told which connection is going to be closed because of a limit.
    using close_observer = std::function<void(const due_close&)>;

    /// Takes over the connections that `server` accepts from now on, and must outlive it.
    http_connections(runtime::event_loop& loop, evhttp* server, const request_limits& requests,
                     const connection_limits& connections, closed_handler on_closed);
    ~http_connections();
    http_connections(const http_connections&) = delete;
    http_connections& operator=(const http_connections&) = delete;
    http_connections(http_connections&&) = delete;
    http_connections& operator=(http_connections&&) = delete;

    void on_close(close_observer observer) { observer_ = std::move(observer); }

    /// Replaces the limits of open connections and of new ones.
    void set_limits(const request_limits& requests);

    /// Number of the connection that a request came on; numbers count from 1, 0 is unknown.
    [[nodiscard]] std::uint64_t number_of(evhttp_request* request) const;

    /// A request has arrived completely on a connection.
    void request_complete(std::uint64_t connection);

    /// The answer to the request on a connection has been sent.
    void request_answered(std::uint64_t connection);

    [[nodiscard]] const connection_budget& budget() const noexcept { return budget_; }

private:
    struct connection {
        http_connections* owner = nullptr;
        std::uint64_t number = 0;
        bufferevent* socket = nullptr;
        evhttp_connection* native = nullptr; ///< Null until adopt_new() has run.
        evbuffer_cb_entry* on_input = nullptr;
        evbuffer_cb_entry* on_output = nullptr;
        std::size_t read_limit = 0; ///< Bytes in the input buffer at which reading stops.
    };
    struct event_deleter {
        void operator()(event* handle) const noexcept;
    };
    using event_pointer = std::unique_ptr<event, event_deleter>;

    // Callbacks of libevent; `argument` is the http_connections or the connection.
    static bufferevent* on_accept(event_base* base, void* argument);
    static void on_input_changed(evbuffer* buffer, const evbuffer_cb_info* change, void* argument);
    static void on_output_changed(evbuffer* buffer, const evbuffer_cb_info* change, void* argument);
    static void on_closed(evhttp_connection* native, void* argument);
    static void on_adopt(int descriptor, short events, void* argument);
    static void on_check(int descriptor, short events, void* argument);

    [[nodiscard]] bufferevent* add(event_base* base);
    void adopt_new();
    void apply_limits(connection& item) const;
    void add_received(const connection& item, evbuffer* buffer, std::size_t bytes);
    void remove(std::uint64_t number);
    /// Schedules a check at the end of this iteration of the event loop if a limit is exceeded.
    void check_soon();
    void close_due();
    static void shut_down(const connection& item);

    runtime::event_loop& loop_;
    evhttp* server_;
    request_limits requests_;
    connection_budget budget_;
    closed_handler on_closed_;
    close_observer observer_;
    std::map<std::uint64_t, connection> connections_; ///< By number.
    std::unordered_map<const bufferevent*, std::uint64_t> numbers_;
    std::uint64_t last_number_ = 0;
    std::uint64_t last_adopted_ = 0;
    event_pointer adopt_event_;
    event_pointer check_event_;
    runtime::event_handle check_timer_;
};

} // namespace hawthornstall::net
