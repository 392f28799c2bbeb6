#pragma once

/// Edits of service documents, their answers and their audit records.

#include "hawthornstall/core/ms_clock.hpp"
#include "hawthornstall/core/service_document.hpp"

#include <cstdint>
#include <string>

namespace hawthornstall::control {

/// One compare-and-set edit of a service document, as an entry host received it.
struct edit_command {
    std::string edit_id;            ///< Chosen by the client; unique within the actor's team.
    std::string service;            ///< Must equal `document.service`.
    std::uint64_t base_version = 0; ///< Version that the edit is based on; 0 creates the document.
    core::service_document document;
    std::string actor; ///< Authenticated name of the person or program.
    std::string actor_team;
    core::time_ms wall_time{}; ///< When the entry host received the edit, since the Unix epoch.
    std::string host;          ///< Entry host that received the edit.

    bool operator==(const edit_command&) const = default;
};

/// Result of an edit.
enum class edit_result : std::uint8_t {
    accepted,
    version_conflict, ///< Another edit was accepted first; the answer holds its version.
    not_owner,        ///< The actor's team does not own the document.
    id_reused,        ///< The identifier belongs to an edit with other content.
    invalid,          ///< A field is empty, too long or contradicts another one.
    store_full,       ///< The bound on documents or on their total size is reached.
};

/// Answer to an edit; a resent edit receives the same one.
struct edit_answer {
    edit_result result = edit_result::invalid;
    std::uint64_t version = 0; ///< New version when accepted, otherwise the current version.

    bool operator==(const edit_answer&) const = default;
};

/// Audit record of one accepted change. `edit_id`, `service` and `actor_team` are empty for a
/// numbered configuration. For a drained zone `service` says what was ordered, and the versions are
/// the revisions at which the set of drained zones changed.
struct audit_record {
    std::uint64_t revision = 0; ///< Position among all accepted changes; the first one is 1.
    std::string edit_id;
    std::string service;
    std::string actor;
    std::string actor_team;
    std::uint64_t from_version = 0;
    std::uint64_t to_version = 0;
    core::time_ms wall_time{};
    std::string host;

    bool operator==(const audit_record&) const = default;
};

/// 64-bit hash of the change that an edit asks for. It excludes time and host, which differ when a
/// client resends the edit through another entry host.
[[nodiscard]] std::uint64_t content_hash(const edit_command& edit);

} // namespace hawthornstall::control
