#pragma once

/// One outgoing HTTP connection that carries one request at a time.

#include "hawthornstall/core/ms_clock.hpp"
#include "hawthornstall/net/http_exchange.hpp"
#include "hawthornstall/runtime/event_loop.hpp"

#include <functional>
#include <memory>
#include <string>
#include <string_view>

struct evbuffer;
struct evbuffer_cb_info;
struct evhttp_connection;
struct evhttp_request;

namespace hawthornstall::net {

/// Maximum sizes of the answers that a connection accepts.
struct answer_limits {
    std::size_t max_header_bytes = std::size_t{16} * 1024;
    std::size_t max_body_bytes = std::size_t{64} * 1024 * 1024;
};

/// A connection that is never reopened: after it was closed or a request on it failed, it stays
/// unusable. evhttp would silently reconnect if such a connection were reused.
class client_connection {
public:
    using completion = std::function<void(const exchange_result&)>;

    /// `address` is a valid "ip:port". Connecting starts with the first request.
    client_connection(runtime::event_loop& loop, std::string_view address, answer_limits limits);
    ~client_connection();
    client_connection(const client_connection&) = delete;
    client_connection& operator=(const client_connection&) = delete;
    client_connection(client_connection&&) = delete;
    client_connection& operator=(client_connection&&) = delete;

    /// Sends `request` and calls `done` exactly once with the result, possibly before returning.
    /// The connection must be idle and usable. `done` must not destroy this object.
    void send(const exchange_request& request, completion done);

    /// Whether a request is in flight.
    [[nodiscard]] bool busy() const noexcept { return static_cast<bool>(done_); }

    /// Whether the connection can carry further requests.
    [[nodiscard]] bool usable() const noexcept { return usable_; }

    /// Marks an idle connection unusable if the peer has closed it or sent unsolicited bytes and
    /// the event loop has not reported this yet. Returns usable().
    bool revalidate_idle();

    /// Time at which the last complete answer ended, that is, at which the peer last responded.
    [[nodiscard]] core::time_ms last_answer() const noexcept { return last_answer_; }

private:
    struct evhttp_deleter {
        void operator()(evhttp_connection* connection) const noexcept;
    };

    // Callbacks of evhttp; `argument` is the client_connection.
    static void on_done(evhttp_request* native, void* argument);
    static void on_failed(int error, void* argument);
    static void on_closed(evhttp_connection* connection, void* argument);
    static void on_output(evbuffer* buffer, const evbuffer_cb_info* info, void* argument);

    /// Evaluates a request that evhttp has completed; a status of 0 means that it failed.
    void receive(evhttp_request* native);

    /// Fails the request in flight and closes the connection.
    void on_timeout();

    /// Result of a failed request: not_sent unless bytes of it may have left this host.
    [[nodiscard]] exchange_result failure_result(exchange_fault fault) const;

    /// Ends the request in flight and calls its completion handler.
    void finish(const exchange_result& result);

    runtime::event_loop& loop_;
    std::string address_;
    std::unique_ptr<evhttp_connection, evhttp_deleter> connection_;
    completion done_;
    runtime::event_handle timeout_event_;
    core::time_ms last_answer_{};
    exchange_fault fault_ = exchange_fault::none; ///< Reported by evhttp for the current request.
    bool usable_ = true;
    bool may_have_sent_ = false; ///< Bytes of the current request may have left this host.
};

} // namespace hawthornstall::net
