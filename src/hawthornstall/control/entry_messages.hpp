#pragma once

/// Messages between entry hosts and control hosts.

#include "hawthornstall/control/document_edit.hpp"
#include "hawthornstall/control/document_messages.hpp"

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
    std::optional<edit_answer> answer;
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

/// What an entry host sends. The order of the alternatives is part of the wire format.
using entry_to_control = std::variant<config_subscribe, edit_request, audit_request>;

/// What a control host answers or publishes.
using control_to_entry = std::variant<config_delta, config_digest, edit_reply, audit_reply>;

} // namespace hawthornstall::control
