#pragma once

/// Requests to entry hosts, one at a time, with resending.

#include "hawthornstall/core/ms_clock.hpp"
#include "hawthornstall/net/http_client.hpp"
#include "hawthornstall/runtime/event_loop.hpp"

#include <cstddef>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace hawthornstall::ctl {

/// How the client reaches the system.
struct entry_access {
    std::vector<std::string> hosts; ///< "ip:port" of entry hosts, at least one.
    std::string token;              ///< Bearer token; empty sends none.
    std::size_t attempts = 3;       ///< Requests in total, over all hosts in turn.
    core::duration_ms timeout{5000};
    core::duration_ms pause{500}; ///< Before each further attempt.
};

/// An answer, or why there is none.
struct entry_reply {
    net::exchange_outcome outcome = net::exchange_outcome::not_sent;
    net::exchange_fault fault = net::exchange_fault::none;
    int status = 0;
    std::string body{};
    std::string host{};            ///< Host of the last attempt.
    bool may_have_arrived = false; ///< Some attempt was sent and its answer was lost.
};

/// A request that entry hosts recognise when it is sent again: a read, or an edit with its
/// identifier.
struct entry_request {
    net::exchange_method method = net::exchange_method::get;
    std::string_view path;
    std::span<const net::http_header> headers{};
    std::string_view body{};
};

/// Blocks the calling thread in its own event loop while it waits.
class entry_client {
public:
    explicit entry_client(entry_access access);

    /// Sends `request` until an entry host answers it definitely or the attempts are used up.
    [[nodiscard]] entry_reply send(const entry_request& request);

private:
    [[nodiscard]] entry_reply send_once(const std::string& host, const entry_request& request);
    void wait(core::duration_ms duration);

    entry_access access_;
    runtime::event_loop loop_;
    net::http_client client_;
};

} // namespace hawthornstall::ctl
