#pragma once

/// Times of the listings that a lease holder asks its targets for.

#include "hawthornstall/core/ms_clock.hpp"

namespace hawthornstall::runs::detail {

/// Timeout of a listing, beyond the time of its long poll.
constexpr core::duration_ms call_timeout{150};

/// An idle target is polled for this long at a time. The connection ends with the target's process,
/// so a restart is noticed before runs are started on the new one, which may be of another kind.
/// The poll acknowledges the ends that were listed before it.
constexpr core::duration_ms idle_poll_time{1'000};

} // namespace hawthornstall::runs::detail
