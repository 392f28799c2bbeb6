#pragma once

/// Links between the system's own processes: nng push/pull sockets with an additional liveness
/// check, because nng keeps an unresponsive TCP connection open forever. Both ends learn of a lost
/// link: a process that drops its share of some joint work because it lost a peer relies on the
/// peer to do the same.

#include "hawthornstall/core/ms_clock.hpp"
#include "hawthornstall/net/nng_socket.hpp"
#include "hawthornstall/net/peer_envelope.hpp"
#include "hawthornstall/net/stream_check.hpp"
#include "hawthornstall/runtime/event_loop.hpp"

#include <absl/status/status.h>

#include <concepts>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace hawthornstall::net {

/// Default interval of pings on each link.
constexpr core::duration_ms ping_interval{500};

/// Default time without a message after which a peer counts as unreachable and the socket of its
/// link is replaced.
constexpr core::duration_ms silence_limit{1500};

/// Name and address of a process to link to.
struct peer_endpoint {
    std::string name;
    std::string address; ///< "ip:port".
};

/// A change of a link.
enum class link_change : std::uint8_t {
    reachable,   ///< The peer can be reached.
    unreachable, ///< The peer is silent, or it has restarted and lost its state.
    interrupted, ///< The peer is reachable, but messages to or from it were lost.
};

/// Calls `report` with whether the peer is reachable: an interruption is a loss and a return.
template <std::invocable<bool> Report> void report_reachability(link_change change, Report report) {
    if (change != link_change::reachable) {
        report(false);
    }
    if (change != link_change::unreachable) {
        report(true);
    }
}

/// Counters of all links of a process since its start, pings included.
struct link_counters {
    std::uint64_t messages_sent = 0;
    std::uint64_t bytes_sent = 0;
    std::uint64_t control_bytes_sent = 0; ///< Pings and pongs only.
    std::uint64_t messages_received = 0;
    std::uint64_t links_replaced = 0;     ///< Sockets replaced by the liveness check.
    std::uint64_t sockets_not_closed = 0; ///< Replaced sockets that did not close in time.
    std::uint64_t malformed = 0;          ///< Undecodable, or from a sender that may not link.
    std::uint64_t outdated = 0;           ///< Late, or sent before a loss was known; ignored.
    std::uint64_t interrupted = 0;        ///< Times that messages of a reachable peer were lost.
};

/// The links of one process, owned by one event-loop task and accessed only by it.
class peer_links {
public:
    /// Identity of this process towards its peers, and the liveness settings of its links.
    struct identity {
        std::string name;
        std::uint64_t incarnation = 0;
        std::string listen_address; ///< "ip:port".
        core::duration_ms ping_every = ping_interval;
        core::duration_ms silent_after = silence_limit;
        /// Also links to senders that are not configured. Their name must be their address.
        bool accept_unlisted = false;
        /// Answers pings with pongs. False for peers that ping each other: they need no pongs, and
        /// no ping on a link that sent a message within the ping interval.
        bool answer_pings = true;
    };

    /// Receives the sender's name and incarnation and the message body.
    using message_handler = std::function<void(std::string_view, std::uint64_t, std::string_view)>;

    /// Receives the name of a peer and the change of its link.
    using state_handler = std::function<void(std::string_view, link_change)>;

    peer_links(runtime::event_loop& loop, identity self, message_handler on_message,
               state_handler on_state);

    /// Starts to listen and to connect to `peers`.
    [[nodiscard]] absl::Status start(std::span<const peer_endpoint> peers);

    /// Adds a link to `peer` unless one exists or `peer` is this process.
    void add(const peer_endpoint& peer);

    /// Removes the link to `peer`, which must be unreachable.
    void remove(std::string_view peer);

    /// Queues a message for `peer`. An error means that it was not queued; success does not
    /// guarantee delivery. Senders that need an answer resend on a timer.
    [[nodiscard]] absl::Status send(std::string_view peer, std::string_view body);

    /// Names of the peers that are currently reachable.
    [[nodiscard]] std::vector<std::string> reachable_peers() const;

    [[nodiscard]] bool is_reachable(std::string_view peer) const;

    [[nodiscard]] const link_counters& counters() const noexcept { return counters_; }

private:
    /// Connection to one peer and what is known about the peer's liveness.
    struct link {
        std::string address;
        std::unique_ptr<detail::nng_socket_handle> socket;
        core::time_ms last_heard{};
        core::time_ms last_replaced{};
        core::time_ms last_sent{};
        std::uint64_t session = 0;  ///< How often this process has lost the link.
        std::uint64_t sequence = 0; ///< Data messages sent in this session.
        std::uint64_t heard_incarnation = 0;
        std::uint64_t heard_session = 0; ///< Of the peer, in its last message that was in order.
        stream_check received;
        bool reachable = false;
    };

    /// Handles a bounded number of pending messages.
    void receive_pending();
    /// Updates the liveness of the sender and answers a ping or passes data on.
    void handle_message(std::uint32_t pipe, std::string_view bytes);
    /// Checks the place of a message in its stream and reports an interrupted link. Returns whether
    /// the message is in order.
    [[nodiscard]] bool accept(link& sender_link, const peer_envelope& envelope);
    /// Whether the sender of a data message knew of all losses of the link that this process has
    /// reported. Work that an earlier message asks for has been given up.
    [[nodiscard]] bool is_current(const link& sender_link, const peer_envelope& envelope) const;
    /// Marks the peer as unreachable and starts a new session, which tells the peer.
    void lose(link& peer_link, std::string_view name);
    /// Starts a new session of this process, which tells the peer of a loss.
    static void start_session(link& peer_link);
    /// The sender's link, added if unlisted senders are accepted; null if it may not link.
    [[nodiscard]] link* find_or_add_sender(std::string_view name);
    /// Updates reachability, replaces sockets of unresponsive peers and sends the pings.
    void check_liveness();
    /// Closes incoming connections that peers have abandoned.
    void close_silent_pipes(core::time_ms now);
    /// Closes the link's socket, if any, and dials the peer with a new one.
    void replace_socket(link& peer_link, core::time_ms now);
    absl::Status send_envelope(link& peer_link, envelope_kind kind, std::string_view body);

    runtime::event_loop& loop_;
    identity self_;
    message_handler on_message_;
    state_handler on_state_;
    detail::nng_socket_handle listener_;
    std::map<std::string, link, std::less<>> links_;
    std::map<std::uint32_t, core::time_ms> pipe_last_heard_; ///< Time of the last message per pipe.
    link_counters counters_;
    runtime::event_handle receive_event_;
    runtime::event_handle first_ping_event_;
    runtime::event_handle ping_event_;
};

} // namespace hawthornstall::net
