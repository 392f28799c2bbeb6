#pragma once

/// Rules that keep the hosts' views of the targets correct. They are a template parameter, so that
/// tests can break one rule at a time and show which failure it prevents.

#include "hawthornstall/core/ms_clock.hpp"
#include "hawthornstall/membership/target_stamp.hpp"

#include <algorithm>
#include <concepts>
#include <optional>

namespace hawthornstall::membership {

/// Longest lease that is granted, whatever a target asks for. It bounds the time during which a
/// silent target still receives work.
constexpr core::duration_ms max_lease{10'000};

/// Divisor of the part of a lease that is given up on hosts that learn of it from a peer, to allow
/// for clock rates that differ by up to 0.5 %.
constexpr std::int64_t lease_margin_divisor = 100;

/// Time for which the last announcement of a departed target is kept. An announcement that is
/// delayed for longer could make the target usable again for one lease.
constexpr core::duration_ms departed_retention{600'000};

/// Limit on the departed targets that are kept; beyond it the oldest ones are dropped. With 390
/// restarts a day in the whole system, ten minutes stay far below the limit.
constexpr std::size_t max_departed = 10'000;

/// Rules that a view of the targets takes as a template parameter.
template <class Rules>
concept target_rules = requires(target_stamp stamp, core::time_ms time, core::duration_ms span,
                                std::optional<core::time_ms> bound) {
    { Rules::supersedes(stamp, stamp) } -> std::same_as<bool>;
    { Rules::lease_start(bound, time) } -> std::same_as<std::optional<core::time_ms>>;
    { Rules::retention() } -> std::same_as<core::duration_ms>;
    { Rules::requests_state() } -> std::same_as<bool>;
};

/// Rules used in production.
struct registry_rules {
    /// Whether an announcement with stamp `later` replaces one with stamp `known`.
    static bool supersedes(target_stamp later, target_stamp known) { return later > known; }

    /// Time from which the ages in a peer's message count; empty if no lease can be granted. The
    /// arrival time is not used, because it would extend leases by the delay of the message.
    static std::optional<core::time_ms> lease_start(std::optional<core::time_ms> sent_not_before,
                                                    core::time_ms /*arrival*/) {
        return sent_not_before;
    }

    /// Time for which departed targets are kept.
    static core::duration_ms retention() { return departed_retention; }

    /// Whether a missed version or a digest mismatch triggers a transfer of the full state.
    static bool requests_state() { return true; }
};

} // namespace hawthornstall::membership
