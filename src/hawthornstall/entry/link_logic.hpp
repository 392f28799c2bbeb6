#pragma once

/// Loop task that owns the connections to other entry hosts and control hosts, and encodes and
/// decodes their messages.

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

/// A message to the process named `peer`.
struct outgoing_message {
    std::string peer;
    std::variant<peer_message, control::entry_to_control> content;
};

/// A message from another process, decoded.
struct incoming_message {
    std::string peer;
    std::uint64_t incarnation = 0; ///< Wall-clock start time of the sending process in ms.
    std::variant<peer_message, control::control_to_entry> content;
};

/// Another process became reachable or unreachable.
struct peer_state_changed {
    std::string peer;
    bool reachable = false;
};

/// Runs net::peer_links on a loop task. A message that cannot be sent or decoded is dropped; the
/// protocols above resend.
class link_logic {
public:
    using message = outgoing_message;

    /// Receives decoded messages and changes of reachability, on this task's thread.
    using receiver = std::function<void(std::variant<incoming_message, peer_state_changed>)>;

    /// `metrics` counts the sent messages and must outlive the task.
    link_logic(net::peer_links::identity self, std::vector<net::peer_endpoint> entry_hosts,
               std::vector<net::peer_endpoint> control_hosts, receiver deliver,
               telemetry::entry_metrics* metrics);

    /// Starts the connections on `loop`. Throws std::runtime_error when that fails.
    void attach(runtime::event_loop& loop);

    /// Encodes and sends a message.
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
