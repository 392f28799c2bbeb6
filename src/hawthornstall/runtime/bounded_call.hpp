#pragma once

/// A time limit for library calls that may never return.

#include "hawthornstall/core/ms_clock.hpp"

#include <functional>

namespace hawthornstall::runtime {

/// Runs `call` on a separate thread and waits at most `limit` for it. Returns whether it has
/// returned by then. If not, it keeps running on the detached thread, so it must own everything
/// that it uses. When no thread can be started, runs `call` on the calling thread without a limit.
[[nodiscard]] bool ends_within(core::duration_ms limit, const std::function<void()>& call);

} // namespace hawthornstall::runtime
