#pragma once

/// Links between the system's own processes: one TCP connection per direction, with a liveness
/// check, because TCP keeps an unresponsive connection open for minutes. All sockets belong to the
/// event loop of the task that owns the links.

#include "hawthornstall/core/ms_clock.hpp"
#include "hawthornstall/net/link_state.hpp"
#include "hawthornstall/net/peer_dialer.hpp"
#include "hawthornstall/net/peer_envelope.hpp"
#include "hawthornstall/net/peer_listener.hpp"
#include "hawthornstall/runtime/event_loop.hpp"

#include <absl/status/status.h>

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

/// Default time without a message after which a peer counts as unreachable and the connection of
/// its link is replaced.
constexpr core::duration_ms silence_limit{1500};

/// Name and address of a process to link to.
struct peer_endpoint {
    std::string name;
    std::string address; ///< "ip:port".
};

/// Counters of all links of a process since its start, pings included.
struct link_counters {
    std::uint64_t messages_sent = 0;
    std::uint64_t bytes_sent = 0;
    std::uint64_t pings_sent = 0;         ///< Pings and pongs.
    std::uint64_t control_bytes_sent = 0; ///< Pings and pongs only.
    std::uint64_t messages_received = 0;
    std::uint64_t bytes_received = 0;
    std::uint64_t links_replaced = 0; ///< Connections replaced by the liveness check.
    std::uint64_t malformed = 0;      ///< Undecodable, or from a sender that may not link.
    std::uint64_t outdated = 0;       ///< Late, or sent before a loss was known; ignored.
    std::uint64_t interrupted = 0;    ///< Times that messages of a reachable peer were lost.
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
        /// Limit on what connections of unknown senders hold together.
        std::size_t max_unknown_bytes = peer_listener::default_unknown_bytes;
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

    /// link_state::last_sign_of_life() of the link to `peer`; the epochs if there is none.
    [[nodiscard]] sign_of_life last_sign_of_life(std::string_view peer) const;

    /// The condition of the link to `peer`; without silence and bytes if there is none.
    [[nodiscard]] link_condition condition(std::string_view peer) const;

    [[nodiscard]] const link_counters& counters() const noexcept { return counters_; }

private:
    /// Link to one peer: its outgoing connection and its state.
    struct link {
        link(runtime::event_loop& loop, std::string_view address, std::uint64_t incarnation)
            : dialer(loop, address), state(incarnation) {}

        peer_dialer dialer;
        link_state state;
        core::time_ms last_replaced{};
        core::time_ms last_sent{};
    };

    /// The process at the other end of an accepted connection.
    struct connection_sender {
        std::string name;
        std::uint64_t incarnation = 0;
    };

    /// Decodes a message, updates the sender's link, and answers a ping or passes data on. Returns
    /// whether the connection may stay open.
    [[nodiscard]] bool handle_message(std::uint64_t connection, std::string_view bytes);
    /// Reports the changes that an envelope has brought.
    void report_changes(std::string_view peer, const reception& received);
    /// Puts the sender into an envelope that does not name it. Returns false if no envelope on the
    /// connection has named it.
    [[nodiscard]] bool complete_sender(std::uint64_t connection, peer_envelope& envelope);
    /// The sender's link, added if unlisted senders are accepted; null if it may not link.
    [[nodiscard]] link* find_or_add_sender(std::string_view name);
    /// Takes note of messages that have arrived in part.
    void note_partial_messages();
    /// Updates reachability, replaces connections to unresponsive peers and sends the pings.
    void check_liveness();
    /// Closes the link's connection, if any, and dials the peer again.
    static void replace_connection(link& peer_link, core::time_ms now);
    absl::Status send_envelope(link& peer_link, envelope_kind kind, std::string_view body);

    runtime::event_loop& loop_;
    identity self_;
    message_handler on_message_;
    state_handler on_state_;
    peer_listener listener_;
    std::map<std::string, link, std::less<>> links_;
    std::map<std::uint64_t, connection_sender> senders_; ///< By connection of the listener.
    link_counters counters_;
    runtime::event_handle first_ping_event_;
    runtime::event_handle ping_event_;
};

} // namespace hawthornstall::net
