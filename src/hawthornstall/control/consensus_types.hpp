#pragma once

/// Members, log entries and persistent state of the configuration log.

#include "hawthornstall/control/document_edit.hpp"
#include "hawthornstall/control/document_store.hpp"
#include "hawthornstall/control/numbered_config.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <tuple>
#include <variant>
#include <vector>

namespace hawthornstall::control {

/// A control host together with its data folder. A host whose folder is lost gets a new `disk`, so
/// that it never votes as the member whose votes and entries it has forgotten.
struct member_id {
    std::string host;
    std::uint64_t storage_id =
        0; ///< Random, drawn when the data folder is created; 0 is no member.

    bool operator==(const member_id&) const = default;
    bool operator<(const member_id& other) const {
        return std::tie(host, storage_id) < std::tie(other.host, other.storage_id);
    }
};

/// Members of the cluster. Learners receive the log and do not count towards a quorum.
struct member_set {
    std::vector<member_id> voters;
    std::vector<member_id> learners;

    bool operator==(const member_set&) const = default;
};

/// Written by each new leader: entries of earlier terms commit together with one of its own.
struct no_operation {
    bool operator==(const no_operation&) const = default;
};

/// The order of the alternatives is part of the file and wire format: new ones go to the end.
using entry_payload = std::variant<no_operation, edit_command, member_set, numbered_config>;

/// Place in the log; index 0 with term 0 is the place before the first entry.
struct log_position {
    std::uint64_t term = 0;
    std::uint64_t index = 0;

    bool operator==(const log_position&) const = default;
};

/// One entry of the log.
struct log_entry {
    log_position position;
    entry_payload payload;

    bool operator==(const log_entry&) const = default;
};

/// What a member must not forget besides the log.
struct hard_state {
    member_id self;
    std::uint64_t cluster_id =
        0; ///< Drawn when the cluster is created; 0 until a member has joined.
    std::uint64_t term = 0;
    std::optional<member_id> voted_for; ///< Vote in `term`.

    bool operator==(const hard_state&) const = default;
};

/// State of all entries up to and including `position`.
struct log_snapshot {
    log_position position;
    member_set members;
    store_snapshot state;

    bool operator==(const log_snapshot&) const = default;
};

} // namespace hawthornstall::control
