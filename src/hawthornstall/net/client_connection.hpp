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

/// Bounds on the answers that a connection accepts.
struct answer_limits {
    std::size_t max_header_bytes = std::size_t{16} * 1024;
    std::size_t max_body_bytes = std::size_t{64} * 1024 * 1024;
};

/// A connection that is never reopened: once it was closed or a request on it failed, it is not
/// usable any more. evhttp would connect again by itself when such a connection is reused.
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

    /// Sends `request` and calls `done` once with the result, possibly before returning. Only for
    /// an idle, usable connection. `done` may not destroy this object.
    void send(const exchange_request& request, completion done);

    [[nodiscard]] bool busy() const noexcept { return static_cast<bool>(done_); }
    [[nodiscard]] bool usable() const noexcept { return usable_; }

    /// Marks an idle connection unusable when the peer has closed it, or sent unasked bytes, and
    /// the event loop has not reported this yet. Returns usable().
    bool check_quiet();

    /// End of the last whole answer; the time at which the peer was last known to respond.
    [[nodiscard]] core::time_ms last_answer() const noexcept { return last_answer_; }

private:
    struct evhttp_deleter {
        void operator()(evhttp_connection* connection) const noexcept;
    };

    static void on_done(evhttp_request* native, void* argument);
    static void on_failed(int error, void* argument);
    static void on_closed(evhttp_connection* connection, void* argument);
    static void on_output(evbuffer* buffer, const evbuffer_cb_info* info, void* argument);

    void receive(evhttp_request* native);
    void time_out();
    [[nodiscard]] exchange_result broken(exchange_fault fault) const;
    void finish(const exchange_result& result);

    runtime::event_loop& loop_;
    std::string address_;
    std::unique_ptr<evhttp_connection, evhttp_deleter> connection_;
    completion done_;
    runtime::event_handle timeout_event_;
    core::time_ms last_answer_{};
    exchange_fault fault_ = exchange_fault::none;
    bool usable_ = true;
    bool wrote_ = false; ///< Bytes of the current request may have left this host.
};

} // namespace hawthornstall::net
