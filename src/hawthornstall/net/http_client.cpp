#include "hawthornstall/net/http_client.hpp"

#include "hawthornstall/net/socket_address.hpp"

#include <algorithm>
#include <utility>

namespace hawthornstall::net {
namespace detail {

/// Interval of the idle check, by which the detection of an unresponsive connection is delayed at
/// most.
constexpr core::duration_ms idle_check_interval{100};

} // namespace detail

http_client::http_client(runtime::event_loop& loop, http_client_limits limits)
    : loop_(loop), limits_(std::move(limits)),
      idle_check_event_(
          loop.every(detail::idle_check_interval, [this] { check_idle_connections(); })) {}

absl::Status http_client::send(const exchange_request& request, completion done) {
    if (const auto parsed = parse_socket_address(request.address); !parsed.ok()) {
        return parsed.status();
    }
    ++counts_.requests;
    ++open_requests_;
    auto& connections = pools_.try_emplace(std::string{request.address}).first->second;
    auto* const selected = select_connection(connections, request);
    if (selected == nullptr) {
        defer([this, done = std::move(done)] {
            --open_requests_;
            done({.outcome = exchange_outcome::not_sent, .fault = exchange_fault::no_connection});
        });
        return absl::OkStatus();
    }
    selected->last_request = core::ms_clock::now();
    selected->last_sent_ping = false;
    // If evhttp reports a failure synchronously, the result is deferred until send() has returned.
    const auto in_send_call = std::make_shared<bool>(true);
    auto& connection = *selected->connection;
    connection.send(request, [this, in_send_call, &connection,
                              done = std::move(done)](const exchange_result& result) {
        if (*in_send_call) {
            defer([this, done, usable = connection.usable(), outcome = result.outcome,
                   fault = result.fault] {
                deliver(usable, done, {.outcome = outcome, .fault = fault});
            });
        } else {
            deliver(connection.usable(), done, result);
        }
    });
    *in_send_call = false;
    return absl::OkStatus();
}

void http_client::deliver(bool still_usable, const completion& done,
                          const exchange_result& result) {
    --open_requests_;
    if (!still_usable && !removal_scheduled_) {
        removal_scheduled_ = true;
        // Deferred because evhttp is still on the call stack and may use the connection.
        defer([this] { remove_unusable(); });
    }
    done(result);
}

http_client::pooled_connection* http_client::most_recent_idle(pool& connections) {
    pooled_connection* most_recent = nullptr;
    for (auto& item : connections) {
        const auto& connection = *item.connection;
        if (connection.usable() && !connection.busy() &&
            (most_recent == nullptr ||
             most_recent->connection->last_answer() < connection.last_answer())) {
            most_recent = &item;
        }
    }
    return most_recent;
}

http_client::pooled_connection* http_client::select_connection(pool& connections,
                                                               const exchange_request& request) {
    // Preferring the connection with the latest answer lets surplus connections become unused, so
    // that they are closed.
    auto* most_recent = most_recent_idle(connections);
    while (most_recent != nullptr && !most_recent->connection->revalidate_idle()) {
        most_recent = most_recent_idle(connections);
    }
    if (most_recent != nullptr) {
        const auto idle_for = core::ms_clock::now() - most_recent->connection->last_answer();
        if (request.idempotent || idle_for <= limits_.idle_before_ping) {
            return most_recent;
        }
    }
    const auto open_connections = std::ranges::count_if(connections, [](const auto& item) {
        return item.connection->usable() || item.connection->busy();
    });
    if (static_cast<std::size_t>(open_connections) >= limits_.max_connections_per_target) {
        // A connection that has been idle for too long, or that only carries a ping, is closed to
        // stay within the limit.
        const auto replaced = std::ranges::find_if(connections, [most_recent](const auto& item) {
            return &item == most_recent || (most_recent == nullptr && item.carries_ping());
        });
        if (replaced == connections.end()) {
            return nullptr;
        }
        connections.erase(replaced);
    }
    return open_connection(connections, request.address);
}

http_client::pooled_connection* http_client::open_connection(pool& connections,
                                                             std::string_view address) {
    ++counts_.connections;
    connections.push_back(
        {.connection = std::make_unique<client_connection>(loop_, address, limits_.answers)});
    return &connections.back();
}

void http_client::ping_if_idle(std::string_view address, pooled_connection& item,
                               core::time_ms now) {
    auto& connection = *item.connection;
    if (limits_.ping_path.empty() || !connection.usable() || connection.busy() ||
        now - connection.last_answer() < limits_.idle_before_ping) {
        return;
    }
    ++counts_.pings;
    item.last_sent_ping = true;
    connection.send({.address = address,
                     .method = exchange_method::get,
                     .path = limits_.ping_path,
                     .timeout = limits_.ping_timeout,
                     .idempotent = true},
                    [](const exchange_result&) {});
}

void http_client::check_idle_connections() {
    const auto now = core::ms_clock::now();
    for (auto& [address, connections] : pools_) {
        for (auto& item : connections) {
            ping_if_idle(address, item, now);
        }
        std::erase_if(connections, [&](const pooled_connection& item) {
            return !item.connection->busy() && now - item.last_request > limits_.close_after_unused;
        });
    }
    remove_unusable();
}

void http_client::remove_unusable() {
    removal_scheduled_ = false;
    for (auto& [address, connections] : pools_) {
        counts_.lost_connections += std::erase_if(connections, [](const auto& item) {
            return !item.connection->usable() && !item.connection->busy();
        });
    }
    std::erase_if(pools_, [](const auto& entry) { return entry.second.empty(); });
}

void http_client::defer(std::function<void()> action) {
    deferred_.push_back(std::move(action));
    if (deferred_.size() == 1) {
        deferred_event_ = loop_.after(core::duration_ms{0}, [this] { run_deferred(); });
    }
}

void http_client::run_deferred() {
    for (const auto& action : std::exchange(deferred_, {})) {
        action();
    }
}

} // namespace hawthornstall::net
