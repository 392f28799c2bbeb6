#include "signal_watch.hpp"

#include <cerrno>
#include <csignal>
#include <sys/signalfd.h>
#include <system_error>
#include <unistd.h>
#include <utility>

namespace hawthornstall::tools {
namespace detail {

int open_signal_descriptor() {
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    const int descriptor = signalfd(-1, &signals, SFD_NONBLOCK | SFD_CLOEXEC);
    if (descriptor < 0) {
        throw std::system_error{errno, std::generic_category(), "signalfd"};
    }
    return descriptor;
}

} // namespace detail

signal_watch::signal_watch(runtime::event_loop& loop, std::function<void()> callback)
    : descriptor_(detail::open_signal_descriptor()), callback_(std::move(callback)),
      event_(loop.on_readable(descriptor_, [this] { receive(); })) {}

signal_watch::~signal_watch() {
    event_ = {};
    close(descriptor_);
}

void signal_watch::receive() {
    signalfd_siginfo signal{};
    if (read(descriptor_, &signal, sizeof signal) == static_cast<ssize_t>(sizeof signal)) {
        callback_();
    }
}

} // namespace hawthornstall::tools
