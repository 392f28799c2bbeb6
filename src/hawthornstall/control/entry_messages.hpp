#pragma once

/// Edit, audit and numbered-configuration requests, and the unions of all messages between entry
/// hosts and control hosts.

#include "hawthornstall/control/document_edit.hpp"
#include "hawthornstall/control/document_messages.hpp"
#include "hawthornstall/discovery/messages.hpp"

#include <cstdint>
#include <optional>
#include <variant>
#include <vector>

namespace hawthornstall::control {

/// Asks for an edit to be accepted. It is sent again, also to another control host, until a reply
/// arrives; the edit identifier makes it idempotent.
struct edit_request {
    std::uint64_t number = 0; ///< Assigned by the sender; repeated in the reply.
    edit_command edit;
};

/// Reply to edit_request, numbered_config_put and zone_drain_put. Without an answer the outcome is
/// unknown, and the request has to be sent again. This is safe with the same edit identifier or the
/// same version.
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

/// Reply to audit_request.
struct audit_reply {
    std::uint64_t number = 0;
    std::vector<audit_record> records;
};

/// Asks for a numbered configuration to be adopted; idempotent.
struct numbered_config_put {
    std::uint64_t number = 0; ///< Assigned by the sender; repeated in the reply.
    numbered_config config;
};

/// Asks for a zone to be drained, or for the end of its drain; idempotent.
struct zone_drain_put {
    std::uint64_t number = 0; ///< Assigned by the sender; repeated in the reply.
    zone_drain_order order;
};

/// Asks for the current numbered configuration, confirmed by a quorum.
struct numbered_config_read {
    std::uint64_t number = 0;
};

/// Reply to numbered_config_read; without a configuration when no quorum confirmed it.
struct numbered_config_reply {
    std::uint64_t number = 0;
    std::optional<numbered_config> config{};
};

/// Message from an entry host. The order of the alternatives is part of the wire format.
using entry_to_control =
    std::variant<config_subscribe, edit_request, audit_request, numbered_config_put,
                 numbered_config_read, discovery::host_hello, zone_drain_put>;

/// Reply or notification from a control host.
using control_to_entry =
    std::variant<config_delta, config_digest, edit_reply, audit_reply, numbered_config_reply,
                 discovery::host_list, discovery::target_updates>;

} // namespace hawthornstall::control
