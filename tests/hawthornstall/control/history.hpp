#pragma once

/// What a simulation observed, and the invariants it is checked against.

#include "hawthornstall/control/consensus_types.hpp"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace hawthornstall::control {

/// An answer that reached a client, or would have without a fault of the network.
struct observed_answer {
    edit_command edit;
    edit_answer answer;
};

/// A version that an observer (an entry host) had in force.
struct observed_version {
    std::string observer;
    std::string service;
    std::uint64_t version = 0;
};

/// Everything the checkers look at, in order of time.
struct history {
    std::map<std::uint64_t, std::set<member_id>> leaders;             ///< By term.
    std::map<std::uint64_t, std::set<std::uint64_t>> committed_terms; ///< By index.
    std::vector<observed_answer> answers;
    std::vector<observed_version> versions;
    std::vector<audit_record> final_audit; ///< Of the leader after all faults are healed.
};

using faults = std::vector<std::string>;

/// No term has two leaders.
[[nodiscard]] faults check_one_leader_per_term(const history& seen);

/// All members commit the same entry at an index.
[[nodiscard]] faults check_committed_agree(const history& seen);

/// Every edit that was answered as accepted is in the final audit trail with its version.
[[nodiscard]] faults check_accepted_kept(const history& seen);

/// Of the edits of a document with the same base version, at most one is accepted.
[[nodiscard]] faults check_one_winner(const history& seen);

/// All answers to one edit identifier are equal.
[[nodiscard]] faults check_first_answer(const history& seen);

/// The version of a document never goes backwards on an observer.
[[nodiscard]] faults check_versions_monotonic(const history& seen);

} // namespace hawthornstall::control
