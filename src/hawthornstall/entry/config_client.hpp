#pragma once

/// Entry host's client of the control hosts: subscribes to the service documents, sends edits and
/// reads the audit log.

#include "hawthornstall/control/applied_documents.hpp"
#include "hawthornstall/control/entry_messages.hpp"
#include "hawthornstall/entry/reply_address.hpp"

#include <absl/status/statusor.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace hawthornstall::entry {

/// Send `message` to a control host.
struct send_to_control_host {
    std::string host;
    control::entry_to_control message;
};

/// An edit ended. An error means that its result is unknown; it is safe to send the edit again with
/// the same identifier.
struct edit_ended {
    local_caller caller;
    absl::StatusOr<control::edit_answer> answer;
};

/// Answer to a request for audit records.
struct audit_ended {
    local_caller caller;
    absl::StatusOr<std::vector<control::audit_record>> records;
};

/// The documents in force on this host changed.
struct documents_updated {};

using config_effect =
    std::variant<send_to_control_host, edit_ended, audit_ended, documents_updated>;
using config_effects = std::vector<config_effect>;

/// Subscribes to one control host at a time. State machine that does no I/O and reads no clock; the
/// dispatcher owns it.
class config_client {
public:
    /// Requests count up from `last_earlier_number` + 1.
    config_client(std::vector<std::string> control_hosts, std::uint64_t last_earlier_number);

    /// Takes a message from a control host.
    [[nodiscard]] config_effects
    handle(std::string_view host, const control::control_to_entry& message, core::time_ms now);

    /// Switches to another control host when the current one is silent, and resends or fails the
    /// overdue requests.
    [[nodiscard]] config_effects tick(core::time_ms now);

    /// Sends an edit; its result comes as an edit_ended effect.
    [[nodiscard]] config_effects edit(const local_caller& caller, control::edit_command command,
                                      core::time_ms now);
    /// Requests the latest audit records; they come as an audit_ended effect.
    [[nodiscard]] config_effects audit(const local_caller& caller, core::time_ms now);

    /// Applies the documents that an earlier process of this host has saved.
    void restore(const control::config_delta& saved) { documents_.apply(saved); }

    [[nodiscard]] const control::applied_documents& documents() const noexcept {
        return documents_;
    }

private:
    /// An edit or audit request without an answer.
    struct open_request {
        local_caller caller;
        control::entry_to_control message;
        core::time_ms deadline{};
        core::time_ms next_send{};
        std::size_t host = 0; ///< Index of the control host to ask next.
    };

    void receive(std::string_view host, const control::config_delta& delta, core::time_ms now);
    void receive(std::string_view host, const control::config_digest& digest, core::time_ms now);
    void receive(std::string_view host, const control::edit_reply& reply, core::time_ms now);
    void receive(std::string_view host, const control::audit_reply& reply, core::time_ms now);
    /// Ignores the messages that this client never requests.
    template <class Message>
    void receive(std::string_view /*host*/, const Message& /*message*/, core::time_ms /*now*/) {}
    void switch_host(core::time_ms now);
    void subscribe(std::uint64_t revision, core::time_ms now);
    void send(open_request& request, core::time_ms now);
    void fail_request(const open_request& request);
    /// Whether the subscription is with `host`; false without control hosts.
    [[nodiscard]] bool is_subscribed_to(std::string_view host) const {
        return !control_hosts_.empty() && control_hosts_.at(subscribed_host_index_) == host;
    }

    std::vector<std::string> control_hosts_;
    control::applied_documents documents_;
    std::size_t subscribed_host_index_ = 0; ///< Index in control_hosts_.
    core::time_ms last_heard_{};
    core::time_ms last_subscribed_{};
    bool subscription_confirmed_ = false; ///< A message arrived since the last subscription.
    std::uint64_t last_number_;
    std::map<std::uint64_t, open_request> requests_;
    config_effects effects_;
};

} // namespace hawthornstall::entry
