#pragma once

/// Messages between entry hosts and control hosts.

#include "hawthornstall/control/document_edit.hpp"
#include "hawthornstall/control/document_messages.hpp"
#include "hawthornstall/discovery/messages.hpp"

#include <cstdint>
#include <optional>
#include <variant>
#include <vector>

namespace hawthornstall::control {

/// Asks for an edit to be accepted. Sent again, also to another control host, until a reply
/// arrives; the edit identifier makes this safe.
struct edit_request {
    std::uint64_t number = 0; ///< Chosen by the sender; repeated in the reply.
    edit_command edit;
};

/// End of an edit; without an answer it is undecided and has to be sent again.
struct edit_reply {
    std::uint64_t number = 0;
    std::optional<edit_answer> answer{};
};

/// Asks for the audit records after `after_revision`, at most `limit`.
struct audit_request {
    std::uint64_t number = 0;
    std::uint64_t after_revision = 0;
    std::uint32_t limit = 0;
};

struct audit_reply {
    std::uint64_t number = 0;
    std::vector<audit_record> records;
};

/// Asks for a numbered configuration to be put in force; safe to send again.
struct numbered_request {
    std::uint64_t number = 0; ///< Chosen by the sender; repeated in the reply.
    numbered_config config;
};

/// Asks for the numbered configuration in force, confirmed by a quorum.
struct numbered_read {
    std::uint64_t number = 0;
};

/// The confirmed configuration; nothing when no quorum could confirm it.
struct numbered_state {
    std::uint64_t number = 0;
    std::optional<numbered_config> config{};
};

/// What an entry host sends. The order of the alternatives is part of the wire format.
using entry_to_control = std::variant<config_subscribe, edit_request, audit_request,
                                      numbered_request, numbered_read, discovery::host_hello>;

/// What a control host answers or publishes.
using control_to_entry = std::variant<config_delta, config_digest, edit_reply, audit_reply,
                                      numbered_state, discovery::host_list, discovery::target_news>;

} // namespace hawthornstall::control
