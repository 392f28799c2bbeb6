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

sigset_t termination_and_reload_signals() {
    auto signals = termination_signals();
    sigaddset(&signals, SIGHUP);
    return signals;
}

void block(const sigset_t& signals) {
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
}

} // namespace detail

void block_termination_signals() {
    detail::block(detail::termination_signals());
}

void block_termination_and_reload_signals() {
    detail::block(detail::termination_and_reload_signals());
}

void wait_for_termination_signal() {
    const auto signals = detail::termination_signals();
    int signal = 0;
    sigwait(&signals, &signal);
}

signal_request wait_for_signal_request() {
    const auto signals = detail::termination_and_reload_signals();
    int signal = 0;
    sigwait(&signals, &signal);
    return signal == SIGHUP ? signal_request::reload : signal_request::terminate;
}

} // namespace hawthornstall::runtime
