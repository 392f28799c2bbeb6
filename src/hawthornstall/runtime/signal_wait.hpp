#pragma once

/// Waiting for signals on the main thread.

#include <cstdint>

namespace hawthornstall::runtime {

/// What a signal asks of the process.
enum class signal_request : std::uint8_t {
    terminate, ///< SIGTERM or SIGINT.
    reload,    ///< SIGHUP.
};

/// Blocks SIGTERM and SIGINT in this thread and in the threads that it starts from now on. To be
/// called before any thread is started.
void block_termination_signals();

/// The same for SIGHUP as well.
void block_all_requests();

/// Waits for SIGTERM or SIGINT.
void wait_for_termination_signal();

/// Waits for SIGTERM, SIGINT or SIGHUP, which block_all_requests() must have blocked.
[[nodiscard]] signal_request wait_for_request();

} // namespace hawthornstall::runtime
