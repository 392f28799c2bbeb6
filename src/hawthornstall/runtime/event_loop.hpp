#pragma once

/// One libevent base, owned by the loop task that runs it.

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

/// Keeps an event registered; destroying it cancels the event.
class event_handle {
public:
    event_handle() = default;

private:
    friend class event_loop;

    using callback = std::function<void()>;

    std::unique_ptr<callback> callback_;
    std::unique_ptr<event, detail::event_deleter> event_;
};

/// Event loop for one thread. Only the thread that runs it may call its members, except stop().
class event_loop {
public:
    event_loop();

    [[nodiscard]] event_base* base() const noexcept { return base_.get(); }

    /// Calls `callback` whenever `descriptor` becomes readable.
    [[nodiscard]] event_handle on_readable(int descriptor, std::function<void()> callback);

    /// Calls `callback` every `interval` until the handle is destroyed.
    [[nodiscard]] event_handle every(core::duration_ms interval, std::function<void()> callback);

    /// Calls `callback` once after `delay` unless the handle is destroyed first.
    [[nodiscard]] event_handle after(core::duration_ms delay, std::function<void()> callback);

    /// Serves events until stop() is called.
    void run();

    /// Ends run() after the current callback.
    void stop() noexcept;

private:
    [[nodiscard]] event_handle add(int descriptor, short flags, core::duration_ms timeout,
                                   std::function<void()> callback);

    std::unique_ptr<event_base, detail::event_base_deleter> base_;
};

} // namespace hawthornstall::runtime
