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

/// Hosts that learn of a lease from a peer shorten it by 1 / `lease_margin_divisor`, to allow for
/// clock rates that differ by up to 0.5 %.
constexpr std::int64_t lease_margin_divisor = 100;

/// Time for which the last announcement of a target is kept after it left or its lease expired. An
/// announcement that is delayed for longer could make the target usable again for one lease.
constexpr core::duration_ms unusable_retention{600'000};

/// Limit on the targets that are kept after they left or their lease expired; beyond it the oldest
/// ones are dropped. With 390 restarts a day in the whole system, ten minutes stay far below the
/// limit.
constexpr std::size_t max_unusable = 10'000;

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

    /// Local time at which the ages in a peer's message are taken to be valid; empty if no lease
    /// can be granted. The arrival time is not used, because it would extend leases by the delay of
    /// the message.
    static std::optional<core::time_ms> lease_start(std::optional<core::time_ms> sent_not_before,
                                                    core::time_ms /*arrival*/) {
        return sent_not_before;
    }

    /// Time for which targets are kept after they left or their lease expired.
    static core::duration_ms retention() { return unusable_retention; }

    /// Whether a missed version or a digest mismatch triggers a transfer of the full state.
    static bool requests_state() { return true; }
};

} // namespace hawthornstall::membership
