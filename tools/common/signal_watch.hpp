#pragma once

/// Delivery of termination signals to an event loop.

#include "hawthornstall/runtime/event_loop.hpp"

#include <functional>

namespace hawthornstall::tools {

/// Calls `callback` on the event loop's thread for each SIGTERM or SIGINT. Must be constructed
/// before any other thread starts, since it blocks both signals only for the calling thread and the
/// threads that it starts later.
class signal_watch {
public:
    signal_watch(runtime::event_loop& loop, std::function<void()> callback);
    ~signal_watch();
    signal_watch(const signal_watch&) = delete;
    signal_watch& operator=(const signal_watch&) = delete;
    signal_watch(signal_watch&&) = delete;
    signal_watch& operator=(signal_watch&&) = delete;

private:
    void receive();

    int descriptor_;
    std::function<void()> callback_;
    runtime::event_handle event_;
};

} // namespace hawthornstall::tools
