#include "hawthornstall/runtime/signal_wait.hpp"

#include <csignal>

namespace hawthornstall::runtime {
namespace detail {

sigset_t termination_signals() {
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    return signals;
}

} // namespace detail

void block_termination_signals() {
    const auto signals = detail::termination_signals();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
}

void wait_for_termination_signal() {
    const auto signals = detail::termination_signals();
    int signal = 0;
    sigwait(&signals, &signal);
}

} // namespace hawthornstall::runtime
