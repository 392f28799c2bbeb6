#pragma once

/// Observations of a simulation, and the invariants that they are checked against.

#include "hawthornstall/control/consensus_types.hpp"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace hawthornstall::control {

/// An answer that reached a client, or would have reached it without a network fault.
struct observed_answer {
    edit_command edit;
    edit_answer answer;
};

/// A document version that an observer (an entry host) used.
struct observed_version {
    std::string observer;
    std::string service;
    std::uint64_t version = 0;
};

/// Input of the invariant checks, in order of time.
struct history {
    std::map<std::uint64_t, std::set<member_id>> leaders;             ///< By term.
    std::map<std::uint64_t, std::set<std::uint64_t>> committed_terms; ///< By index.
    std::vector<observed_answer> answers;
    std::vector<observed_version> versions;
    std::vector<audit_record> final_audit; ///< Of the leader after the recovery phase.
};

/// Descriptions of the violations that a check found.
using violations = std::vector<std::string>;

/// No term has two leaders.
[[nodiscard]] violations check_one_leader_per_term(const history& observed);

/// All members commit the same entry at an index.
[[nodiscard]] violations check_committed_agree(const history& observed);

/// Every edit that was answered as accepted is in the final audit trail with its version.
[[nodiscard]] violations check_accepted_kept(const history& observed);

/// Of the edits of a document with the same base version, at most one is accepted.
[[nodiscard]] violations check_one_winner(const history& observed);

/// All answers to one edit identifier are equal.
[[nodiscard]] violations check_first_answer(const history& observed);

/// The version of a document never decreases on an observer.
[[nodiscard]] violations check_versions_monotonic(const history& observed);

} // namespace hawthornstall::control
