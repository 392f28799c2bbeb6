#include "hawthornstallctl/entry_client.hpp"

#include <utility>

namespace hawthornstall::ctl {
namespace detail {

/// Whether a retry is pointless. 503 and 504 report a temporary state, so they are retried.
bool is_definite(const entry_reply& reply) {
    constexpr int unavailable = 503;
    constexpr int gateway_timeout = 504;
    return reply.outcome == net::exchange_outcome::answered && reply.status != unavailable &&
           reply.status != gateway_timeout;
}

/// Whether the request may have taken effect although the reply does not say so.
bool is_ambiguous(const entry_reply& reply) {
    constexpr int gateway_timeout = 504;
    return reply.outcome == net::exchange_outcome::broken || reply.status == gateway_timeout;
}

} // namespace detail

entry_client::entry_client(entry_access access) : access_(std::move(access)), client_(loop_, {}) {}

entry_reply entry_client::send(const entry_request& request) {
    entry_reply reply;
    bool ambiguous = false;
    for (std::size_t attempt = 0; attempt < access_.attempts; ++attempt) {
        if (attempt > 0) {
            wait(access_.retry_delay);
        }
        reply = send_once(access_.hosts.at(attempt % access_.hosts.size()), request);
        if (detail::is_definite(reply)) {
            break;
        }
        ambiguous = ambiguous || detail::is_ambiguous(reply);
    }
    reply.may_have_arrived = ambiguous && !detail::is_definite(reply);
    return reply;
}

entry_reply entry_client::send_once(const std::string& host, const entry_request& request) {
    std::vector<net::http_header> headers{request.headers.begin(), request.headers.end()};
    const std::string authorization = "Bearer " + access_.token;
    if (!access_.token.empty()) {
        headers.push_back({"Authorization", authorization});
    }
    headers.push_back({"Content-Type", "application/json"});
    entry_reply reply{.host = host};
    const auto sent = client_.send({.address = host,
                                    .method = request.method,
                                    .path = request.path,
                                    .headers = headers,
                                    .body = request.body,
                                    .timeout = access_.timeout,
                                    .idempotent = false},
                                   [&](const net::exchange_result& result) {
                                       reply.outcome = result.outcome;
                                       reply.fault = result.fault;
                                       reply.status = result.status;
                                       reply.body = result.body;
                                       loop_.stop();
                                   });
    if (sent.ok()) {
        loop_.run();
    } else {
        reply.fault = net::exchange_fault::connect_failed;
    }
    return reply;
}

void entry_client::wait(core::duration_ms duration) {
    const auto timer = loop_.after(duration, [this] { loop_.stop(); });
    loop_.run();
}

} // namespace hawthornstall::ctl
