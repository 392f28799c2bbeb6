#include "hawthornstall/net/http_client.hpp"

#include "hawthornstall/net/socket_address.hpp"

#include <algorithm>
#include <utility>

namespace hawthornstall::net {
namespace detail {

/// Interval of the idle check; the detection of a silent connection is late by at most this.
constexpr core::duration_ms check_interval{100};

} // namespace detail

http_client::http_client(runtime::event_loop& loop, http_client_limits limits)
    : loop_(loop), limits_(std::move(limits)),
      check_event_(loop.every(detail::check_interval, [this] { check_all(); })) {}

absl::Status http_client::send(const exchange_request& request, completion done) {
    if (const auto parsed = parse_socket_address(request.address); !parsed.ok()) {
        return parsed.status();
    }
    ++counts_.requests;
    ++open_requests_;
    auto& connections = pools_.try_emplace(std::string{request.address}).first->second;
    auto* const picked = pick(connections, request);
    if (picked == nullptr) {
        run_soon([this, done = std::move(done)] {
            --open_requests_;
            done({.outcome = exchange_outcome::not_sent, .fault = exchange_fault::no_connection});
        });
        return absl::OkStatus();
    }
    picked->last_request = core::ms_clock::now();
    // A failure that evhttp reports at once must not reach the caller before send() returns.
    const auto in_call = std::make_shared<bool>(true);
    auto& connection = *picked->connection;
    connection.send(request, [this, in_call, &connection,
                              done = std::move(done)](const exchange_result& result) {
        if (*in_call) {
            run_soon([this, done, usable = connection.usable(), outcome = result.outcome,
                      fault = result.fault] {
                deliver(usable, done, {.outcome = outcome, .fault = fault});
            });
        } else {
            deliver(connection.usable(), done, result);
        }
    });
    *in_call = false;
    return absl::OkStatus();
}

void http_client::deliver(bool still_usable, const completion& done,
                          const exchange_result& result) {
    --open_requests_;
    if (!still_usable && !removal_due_) {
        removal_due_ = true;
        // Deferred, since evhttp may still use the connection, which is on the call stack.
        run_soon([this] { remove_unusable(); });
    }
    done(result);
}

http_client::pooled_connection* http_client::newest_idle(pool& connections) {
    pooled_connection* newest = nullptr;
    for (auto& item : connections) {
        const auto& connection = *item.connection;
        if (connection.usable() && !connection.busy() &&
            (newest == nullptr || newest->connection->last_answer() < connection.last_answer())) {
            newest = &item;
        }
    }
    return newest;
}

http_client::pooled_connection* http_client::pick(pool& connections,
                                                  const exchange_request& request) {
    // The most recently answered connection is taken, so that surplus ones fall out of use.
    auto* newest = newest_idle(connections);
    while (newest != nullptr && !newest->connection->check_quiet()) {
        newest = newest_idle(connections);
    }
    if (newest != nullptr) {
        const auto idle_for = core::ms_clock::now() - newest->connection->last_answer();
        if (request.idempotent || idle_for <= limits_.idle_before_ping) {
            return newest;
        }
    }
    const auto alive = std::ranges::count_if(connections, [](const auto& item) {
        return item.connection->usable() || item.connection->busy();
    });
    if (static_cast<std::size_t>(alive) >= limits_.max_connections_per_target) {
        if (newest == nullptr) {
            return nullptr;
        }
        // A connection that has been idle for too long makes room for the new one.
        std::erase_if(connections, [newest](const auto& item) { return &item == newest; });
    }
    return open(connections, request.address);
}

http_client::pooled_connection* http_client::open(pool& connections, std::string_view address) {
    ++counts_.connections;
    connections.push_back(
        {.connection = std::make_unique<client_connection>(loop_, address, limits_.answers)});
    return &connections.back();
}

void http_client::check_idle(std::string_view address, pooled_connection& item, core::time_ms now) {
    auto& connection = *item.connection;
    if (limits_.ping_path.empty() || !connection.usable() || connection.busy() ||
        now - connection.last_answer() < limits_.idle_before_ping) {
        return;
    }
    ++counts_.pings;
    connection.send({.address = address,
                     .method = exchange_method::get,
                     .path = limits_.ping_path,
                     .timeout = limits_.ping_timeout,
                     .idempotent = true},
                    [](const exchange_result&) {});
}

void http_client::check_all() {
    const auto now = core::ms_clock::now();
    for (auto& [address, connections] : pools_) {
        for (auto& item : connections) {
            check_idle(address, item, now);
        }
        std::erase_if(connections, [&](const pooled_connection& item) {
            return !item.connection->busy() && now - item.last_request > limits_.close_after_unused;
        });
    }
    remove_unusable();
}

void http_client::remove_unusable() {
    removal_due_ = false;
    for (auto& [address, connections] : pools_) {
        counts_.lost_connections += std::erase_if(connections, [](const auto& item) {
            return !item.connection->usable() && !item.connection->busy();
        });
    }
    std::erase_if(pools_, [](const auto& entry) { return entry.second.empty(); });
}

void http_client::run_soon(std::function<void()> action) {
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
