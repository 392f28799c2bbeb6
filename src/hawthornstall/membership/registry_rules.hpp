#pragma once

/// Rules that keep the views of the targets correct. A template parameter, so that tests can show
/// which failure each rule prevents.

#include "hawthornstall/core/ms_clock.hpp"
#include "hawthornstall/membership/target_stamp.hpp"

#include <algorithm>
#include <concepts>
#include <optional>

namespace hawthornstall::membership {

/// Longest lease that is granted, whatever a target asks for: it bounds the time during which a
/// silent target receives work.
constexpr core::duration_ms max_lease{10'000};

/// Part of a lease that is given up on hosts that learn it from a peer, for clock rates that
/// differ by up to 0.5 %.
constexpr std::int64_t lease_margin_divisor = 100;

/// Time for which the last news of a departed target is remembered. An announcement that is delayed
/// for longer could bring the target back for one lease.
constexpr core::duration_ms departed_retention{600'000};

/// Most departed targets that are remembered; beyond it the oldest ones are forgotten. 390 restarts
/// a day over the whole system leave this far away in ten minutes.
constexpr std::size_t max_departed = 10'000;

/// What a view of the targets lets vary.
template <class Rules>
concept target_rules = requires(target_stamp stamp, core::time_ms time, core::duration_ms span,
                                std::optional<core::time_ms> bound) {
    { Rules::supersedes(stamp, stamp) } -> std::same_as<bool>;
    { Rules::lease_start(bound, time) } -> std::same_as<std::optional<core::time_ms>>;
    { Rules::retention() } -> std::same_as<core::duration_ms>;
    { Rules::requests_state() } -> std::same_as<bool>;
};

/// Rules of the product.
struct registry_rules {
    /// Whether news with stamp `later` replaces news with stamp `known`.
    static bool supersedes(target_stamp later, target_stamp known) { return later > known; }

    /// Time from which the ages of a peer's message count; empty when no lease can be granted.
    /// The time of arrival would extend the lease by the delay on the way.
    static std::optional<core::time_ms> lease_start(std::optional<core::time_ms> sent_not_before,
                                                    core::time_ms /*arrival*/) {
        return sent_not_before;
    }

    static core::duration_ms retention() { return departed_retention; }

    /// Whether a gap or a digest mismatch leads to a transfer of the full state.
    static bool requests_state() { return true; }
};

} // namespace hawthornstall::membership
