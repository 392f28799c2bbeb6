#pragma once

/// Waiting for a termination signal on the main thread.

namespace hawthornstall::runtime {

/// Blocks SIGTERM and SIGINT in this thread and in the threads that it starts from now on. To be
/// called before any thread is started.
void block_termination_signals();

/// Waits for SIGTERM or SIGINT.
void wait_for_termination_signal();

} // namespace hawthornstall::runtime
