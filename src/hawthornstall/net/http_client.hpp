#pragma once

/// HTTP client of one event loop with a bounded pool of connections per target address.

#include "hawthornstall/core/ms_clock.hpp"
#include "hawthornstall/net/client_connection.hpp"
#include "hawthornstall/net/http_exchange.hpp"
#include "hawthornstall/runtime/event_loop.hpp"

#include <absl/status/status.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace hawthornstall::net {

/// Limits of one client. Section 8 of docs/design.md gives the reasons for the defaults of the idle
/// check.
struct http_client_limits {
    std::size_t max_connections_per_target = 64; ///< Minions accept about 60.
    /// Time since the last answer after which an idle connection is pinged, and after which it no
    /// longer carries requests that are not idempotent.
    core::duration_ms idle_before_ping{1000};
    core::duration_ms ping_timeout{500};
    std::string ping_path = "/v1/ping"; ///< Empty disables the idle check.
    /// Connections that have carried no request for this long are closed instead of being kept open
    /// with pings.
    core::duration_ms close_after_unused{30'000};
    answer_limits answers{};
};

/// Default limits without the idle check, for targets that have no ping endpoint.
[[nodiscard]] inline http_client_limits limits_without_pings() {
    http_client_limits limits;
    limits.ping_path.clear();
    return limits;
}

/// Counters since the client was constructed.
struct http_client_counts {
    std::uint64_t connections = 0;      ///< Connections opened.
    std::uint64_t requests = 0;         ///< Accepted requests, pings excluded.
    std::uint64_t pings = 0;            ///< Pings sent.
    std::uint64_t lost_connections = 0; ///< Closed, failed or unresponsive.
};

/// Sends each request at most once and never retries. All members are accessed only on the thread
/// of the event loop.
class http_client {
public:
    using completion = client_connection::completion;

    http_client(runtime::event_loop& loop, http_client_limits limits);

    /// Sends `request` and calls `done` exactly once, after this call has returned. `done` may
    /// send further requests but must not destroy the client. Returns an error, and never calls
    /// `done`, if the address is malformed.
    [[nodiscard]] absl::Status send(const exchange_request& request, completion done);

    /// Requests in flight, pings excluded.
    [[nodiscard]] std::size_t open_requests() const noexcept { return open_requests_; }

    [[nodiscard]] const http_client_counts& counts() const noexcept { return counts_; }

private:
    /// A connection and what it carried last.
    struct pooled_connection {
        std::unique_ptr<client_connection> connection;
        core::time_ms last_request{}; ///< Pings excluded.
        bool last_sent_ping = false;

        /// Whether the only request in flight is a ping.
        [[nodiscard]] bool carries_ping() const { return last_sent_ping && connection->busy(); }
    };
    using pool = std::vector<pooled_connection>;

    /// The usable idle connection with the latest answer; null if there is none.
    [[nodiscard]] static pooled_connection* most_recent_idle(pool& connections);
    /// Reuses an idle connection or opens one; null if all that the limit allows carry requests.
    [[nodiscard]] pooled_connection* select_connection(pool& connections,
                                                       const exchange_request& request);
    [[nodiscard]] pooled_connection* open_connection(pool& connections, std::string_view address);
    /// Pings the connection if it has been idle for `idle_before_ping`.
    void ping_if_idle(std::string_view address, pooled_connection& item, core::time_ms now);
    /// Pings idle connections and closes those that are unused or unusable.
    void check_idle_connections();
    /// Removes connections that are unusable and have no request in flight.
    void remove_unusable();
    /// Passes a result to the caller and schedules the removal of an unusable connection.
    void deliver(bool still_usable, const completion& done, const exchange_result& result);
    /// Runs `action` in the next iteration of the event loop.
    void defer(std::function<void()> action);
    void run_deferred();

    runtime::event_loop& loop_;
    http_client_limits limits_;
    std::map<std::string, pool, std::less<>> pools_;
    std::vector<std::function<void()>> deferred_;
    runtime::event_handle deferred_event_;
    runtime::event_handle idle_check_event_;
    bool removal_scheduled_ = false;
    std::size_t open_requests_ = 0;
    http_client_counts counts_;
};

} // namespace hawthornstall::net
