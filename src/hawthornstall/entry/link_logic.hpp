#pragma once

/// Loop task that owns the links to the system's other processes and the encoding of messages.

#include "hawthornstall/control/entry_messages.hpp"
#include "hawthornstall/entry/peer_message.hpp"
#include "hawthornstall/net/peer_links.hpp"
#include "hawthornstall/runtime/mailbox.hpp"
#include "hawthornstall/telemetry/entry_metrics.hpp"

#include <functional>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace hawthornstall::entry {

/// Sends `content` to the named process.
struct outgoing_message {
    std::string peer;
    std::variant<peer_message, control::entry_to_control> content;
};

/// A message from another process, decoded.
struct incoming_message {
    std::string peer;
    std::uint64_t incarnation = 0;
    std::variant<peer_message, control::control_to_entry> content;
};

/// A process became reachable or unreachable.
struct peer_state_changed {
    std::string peer;
    bool reachable = false;
};

/// Runs net::peer_links on a loop task. Undeliverable messages are dropped: their senders resend.
class link_logic {
public:
    using message = outgoing_message;

    /// Receives decoded messages and state changes, on this task's thread.
    using receiver = std::function<void(std::variant<incoming_message, peer_state_changed>)>;

    /// `metrics` counts what is sent and must outlive the task.
    link_logic(net::peer_links::identity self, std::vector<net::peer_endpoint> entry_hosts,
               std::vector<net::peer_endpoint> control_hosts, receiver deliver,
               telemetry::entry_metrics* metrics);

    void attach(runtime::event_loop& loop);
    void handle(outgoing_message outgoing);

private:
    void receive(std::string_view peer, std::uint64_t incarnation, std::string_view body);

    net::peer_links::identity self_;
    std::vector<net::peer_endpoint> entry_hosts_;
    std::vector<net::peer_endpoint> control_hosts_;
    receiver deliver_;
    telemetry::entry_metrics* metrics_;
    std::unique_ptr<net::peer_links> links_;
};

} // namespace hawthornstall::entry
