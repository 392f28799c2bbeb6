#pragma once

/// Event loop of one thread, based on libevent.

#include "hawthornstall/core/ms_clock.hpp"

#include <functional>
#include <memory>

struct event_base;
struct event;

namespace hawthornstall::runtime {
namespace detail {

struct event_base_deleter {
    void operator()(event_base* base) const noexcept;
};

struct event_deleter {
    void operator()(event* handle) const noexcept;
};

} // namespace detail

/// Owns a registration with an event loop. Its destruction cancels the callback. It must not
/// outlive the loop.
class event_handle {
public:
    event_handle() = default;

private:
    friend class event_loop;

    using callback = std::function<void()>;

    std::unique_ptr<callback> callback_;
    std::unique_ptr<event, detail::event_deleter> event_;
};

/// Owns one libevent base. Except for stop(), members may be called only by the thread that runs
/// the loop.
class event_loop {
public:
    event_loop();

    /// The libevent base, for libraries that register their own events.
    [[nodiscard]] event_base* base() const noexcept { return base_.get(); }

    /// Calls `callback` whenever `descriptor` becomes readable.
    [[nodiscard]] event_handle on_readable(int descriptor, std::function<void()> callback);

    /// Calls `callback` every `interval` until the handle is destroyed.
    [[nodiscard]] event_handle every(core::duration_ms interval, std::function<void()> callback);

    /// Calls `callback` once after `delay` unless the handle is destroyed first.
    [[nodiscard]] event_handle after(core::duration_ms delay, std::function<void()> callback);

    /// Lets the timers that are set in the present callback count from now on, and not from the
    /// time at which the loop began to call callbacks.
    void refresh_time();

    /// Dispatches events until stop() is called, also while none is registered.
    void run();

    /// Makes run() return after the current callback. Safe from any thread.
    void stop() noexcept;

private:
    [[nodiscard]] event_handle add(int descriptor, short flags, core::duration_ms timeout,
                                   std::function<void()> callback);

    std::unique_ptr<event_base, detail::event_base_deleter> base_;
};

} // namespace hawthornstall::runtime
