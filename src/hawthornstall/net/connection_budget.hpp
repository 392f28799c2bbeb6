#pragma once

/// Decides which connections of clients are closed so that a server stays within its share of the
/// memory and of the descriptors. Does no I/O.

#include "hawthornstall/core/ms_clock.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string_view>
#include <vector>

namespace hawthornstall::net {

/// Limits on all connections of one server together, and on the time in which a request arrives.
struct connection_limits {
    /// Bytes that are held for clients: received and not handled yet, or not read by them yet.
    std::size_t max_bytes = std::size_t{64} * 1024 * 1024;
    std::size_t max_connections = 10'000;
    /// From the first byte of a request to its last one. No caller waits that long for an answer.
    core::duration_ms arrival_time{30'000};
    /// Counted for each connection beside its bytes: its buffers and the state of its requests.
    std::size_t connection_bytes = 4'096;
};

/// Largest body that a server should take: an eighth of what all its connections may hold.
[[nodiscard]] constexpr std::size_t largest_request(const connection_limits& limits) noexcept {
    constexpr std::size_t share = 8;
    return limits.max_bytes / share;
}

/// Why a connection is closed.
enum class close_reason : std::uint8_t {
    too_many_bytes,       ///< All connections together hold too much, and this one the most.
    too_many_connections, ///< It was idle for the longest, or it is the newest.
    slow_request,         ///< The headers or the body took too long.
};

/// Name of the reason in log records.
[[nodiscard]] std::string_view to_string(close_reason reason) noexcept;

/// A connection to close.
struct due_close {
    std::uint64_t connection = 0;
    close_reason reason = close_reason::too_many_bytes;
    std::size_t held_bytes = 0;

    bool operator==(const due_close&) const = default;
};

/// The connections of one server and what they hold. A connection counts until closed() is called
/// for it, also after it was returned by take_due().
///
/// Beyond the limit on bytes, the connections that hold the most are closed first, until seven
/// eighths of the limit are left. A caller who waits for an answer holds no more than its request,
/// so it is reached last. Beyond the limit on connections, the one that has been without a request
/// for the longest makes room, then the one whose request began to arrive first or whose client
/// does not read its answer. Connections opened in the last second come after these, the oldest
/// first, and those that wait for an answer last, the newest first.
class connection_budget {
public:
    explicit connection_budget(connection_limits limits = {}) : limits_(limits) {}

    [[nodiscard]] const connection_limits& limits() const noexcept { return limits_; }

    void opened(std::uint64_t connection, core::time_ms now);
    void closed(std::uint64_t connection);

    /// Bytes have arrived. They count until the request that they belong to is answered.
    void received(std::uint64_t connection, std::size_t bytes, core::time_ms now);

    /// Sets the bytes of answers that the client has not read.
    void set_unsent(std::uint64_t connection, std::size_t bytes);

    /// A request has arrived completely.
    void request_complete(std::uint64_t connection);

    /// The answer to a request has been sent. The client has sent `bytes` ahead, which belong to
    /// further requests.
    void request_answered(std::uint64_t connection, std::size_t bytes, core::time_ms now);

    /// The connections to close now, each once.
    [[nodiscard]] std::vector<due_close> take_due(core::time_ms now);

    /// Bytes that count as received on a connection.
    [[nodiscard]] std::size_t received_by(std::uint64_t connection) const;

    /// Bytes that all connections hold which are not being closed.
    [[nodiscard]] std::size_t held_bytes() const noexcept { return held_bytes_; }
    /// Connections that are not being closed.
    [[nodiscard]] std::size_t connections() const noexcept {
        return connections_.size() - closing_;
    }

private:
    enum class phase : std::uint8_t {
        idle,      ///< Between two requests.
        receiving, ///< A part of a request has arrived.
        open,      ///< A request waits for its answer, or the client has not read it.
    };

    struct connection_state {
        phase current = phase::idle;
        core::time_ms opened{};
        core::time_ms since{}; ///< When it was opened, answered, or its request began to arrive.
        std::size_t received = 0;
        std::size_t unsent = 0;
        bool closing = false; ///< It was returned by take_due().

        [[nodiscard]] std::size_t held() const noexcept { return received + unsent; }

        /// Position in the order in which connections are closed when there are too many.
        [[nodiscard]] phase rank() const noexcept {
            // A client that does not read its answer does not wait for it.
            return current == phase::open && unsent > 0 ? phase::receiving : current;
        }
    };

    using connection_map = std::map<std::uint64_t, connection_state>;

    /// Replaces one of the amounts that a connection holds.
    void set(connection_state& state, std::size_t& amount, std::size_t bytes);
    void close(connection_map::value_type& item, close_reason reason, std::vector<due_close>& due);
    [[nodiscard]] std::vector<connection_map::value_type*> open_connections();
    void close_slow(core::time_ms now, std::vector<due_close>& due);
    void close_largest(std::vector<due_close>& due);
    void close_surplus(core::time_ms now, std::vector<due_close>& due);

    connection_limits limits_;
    connection_map connections_; ///< By number, so in the order in which they were opened.
    std::size_t held_bytes_ = 0;
    std::size_t closing_ = 0; ///< Connections that were returned and are not closed yet.
};

} // namespace hawthornstall::net
