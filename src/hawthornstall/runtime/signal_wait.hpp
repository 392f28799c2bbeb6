#pragma once

/// Synchronous handling of termination and reload signals on the main thread.

#include <cstdint>

namespace hawthornstall::runtime {

/// What a received signal requests of the process.
enum class signal_request : std::uint8_t {
    terminate, ///< SIGTERM or SIGINT.
    reload,    ///< SIGHUP.
};

/// Blocks SIGTERM and SIGINT in the calling thread and in the threads that it starts afterwards.
/// Call it before the first thread is started: a thread that does not block them could receive
/// them instead of the wait functions below.
void block_termination_signals();

/// Like block_termination_signals(), but blocks SIGHUP as well.
void block_termination_and_reload_signals();

/// Waits for SIGTERM or SIGINT, which block_termination_signals() must have blocked.
void wait_for_termination_signal();

/// Waits for SIGTERM, SIGINT or SIGHUP, which block_termination_and_reload_signals() must have
/// blocked.
[[nodiscard]] signal_request wait_for_signal_request();

} // namespace hawthornstall::runtime
