#pragma once

/// Types of an HTTP request to a target and of its result.

#include "hawthornstall/core/ms_clock.hpp"

#include <cstdint>
#include <span>
#include <string_view>

namespace hawthornstall::net {

/// One header line.
struct http_header {
    std::string_view name;
    std::string_view value;
};

/// Methods that the client sends.
enum class exchange_method : std::uint8_t { get, post, put };

/// A request. The views need to stay valid only until the call that takes the request returns.
struct exchange_request {
    std::string_view address; ///< "ip:port" of the target.
    exchange_method method = exchange_method::post;
    std::string_view path{};
    std::span<const http_header> headers{}; ///< "Host" defaults to the address.
    std::string_view body{};
    core::duration_ms timeout{10'000}; ///< From send to the end of the answer; at least 1 ms.
    /// A request that is not idempotent needs a connection whose peer responded recently.
    bool idempotent = false;
};

/// How an exchange ended, classified by whether the target may have run the request.
enum class exchange_outcome : std::uint8_t {
    answered, ///< A complete answer with any status arrived.
    not_sent, ///< No byte was sent, so the target did not run the request.
    broken,   ///< Sent at least in part, no complete answer; the target may have run it.
};

/// Why an exchange was not answered.
enum class exchange_fault : std::uint8_t {
    none,
    connect_failed,   ///< The connection was refused or could not be opened.
    no_connection,    ///< All connections that the pool allows for the target are busy.
    connection_lost,  ///< Closed or reset before the answer was complete.
    timed_out,        ///< The timeout of the request passed.
    incomplete_body,  ///< The body is shorter than announced, or its length is unknown.
    answer_too_large, ///< The answer exceeds the limits.
    malformed_answer, ///< The answer is not HTTP.
};

/// Name for logs and error messages, for example "connection lost".
[[nodiscard]] std::string_view to_string(exchange_fault fault) noexcept;

/// Result of an exchange. The views are valid only during the completion call.
struct exchange_result {
    exchange_outcome outcome = exchange_outcome::not_sent;
    exchange_fault fault = exchange_fault::none;
    int status = 0; ///< HTTP status when answered.
    std::string_view content_type{};
    std::string_view body{};
};

} // namespace hawthornstall::net
