#pragma once

/// Blocking HTTP client for entry hosts with retries.

#include "hawthornstall/core/ms_clock.hpp"
#include "hawthornstall/net/http_client.hpp"
#include "hawthornstall/runtime/event_loop.hpp"

#include <cstddef>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace hawthornstall::ctl {

/// Addresses, credentials and retry policy for requests to entry hosts.
struct entry_access {
    std::vector<std::string> hosts;     ///< "ip:port" of entry hosts; must not be empty.
    std::string token;                  ///< Bearer token; no header is sent when empty.
    std::size_t attempts = 3;           ///< Total number of attempts, over all hosts in turn.
    core::duration_ms timeout{5000};    ///< For the answer to each attempt.
    core::duration_ms retry_delay{500}; ///< Delay before each retry.
};

/// The answer of an entry host, or the reason why there is none.
struct entry_reply {
    net::exchange_outcome outcome = net::exchange_outcome::not_sent;
    net::exchange_fault fault = net::exchange_fault::none;
    int status = 0;
    std::string body{};
    std::string host{};            ///< Host of the last attempt.
    bool may_have_arrived = false; ///< Whether an attempt may have taken effect although its
                                   ///< answer was lost.
};

/// A request that is safe to retry: a read, or an edit that entry hosts deduplicate by its
/// identifier.
struct entry_request {
    net::exchange_method method = net::exchange_method::get;
    std::string_view path;
    std::span<const net::http_header> headers{};
    std::string_view body{};
};

/// Sends one request at a time. Blocks the calling thread, which runs the event loop of the client
/// until the answer arrives.
class entry_client {
public:
    explicit entry_client(entry_access access);

    /// Sends `request` to the hosts in turn until one gives a definite answer, which is any status
    /// other than 503 and 504, or all attempts are used up.
    [[nodiscard]] entry_reply send(const entry_request& request);

private:
    [[nodiscard]] entry_reply send_once(const std::string& host, const entry_request& request);
    void wait(core::duration_ms duration);

    entry_access access_;
    runtime::event_loop loop_;
    net::http_client client_;
};

} // namespace hawthornstall::ctl
