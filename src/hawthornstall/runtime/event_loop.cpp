#include "hawthornstall/runtime/event_loop.hpp"

#include <event2/event.h>
#include <event2/thread.h>

#include <csignal>
#include <new>
#include <sys/time.h>
#include <utility>

namespace hawthornstall::runtime {
namespace detail {

void event_base_deleter::operator()(event_base* base) const noexcept {
    event_base_free(base);
}

void event_deleter::operator()(event* handle) const noexcept {
    event_free(handle);
}

/// Ignores SIGPIPE and enables locking in libevent; returns 0 on success. libevent writes without
/// MSG_NOSIGNAL, so writing to a connection that the peer has closed would end the process by
/// SIGPIPE. Locking must be enabled before the first base is created; otherwise a call of stop()
/// from another thread is unsafe.
int initialize_process() {
    return std::signal(SIGPIPE, SIG_IGN) == SIG_ERR ? -1 : evthread_use_pthreads();
}

event_base* new_threadsafe_base() {
    static const int init_result = initialize_process();
    event_base* const base = init_result == 0 ? event_base_new() : nullptr;
    if (base == nullptr) {
        throw std::bad_alloc{};
    }
    return base;
}

timeval to_timeval(core::duration_ms duration) {
    constexpr core::duration_ms::rep ms_per_second = 1000;
    return {.tv_sec = duration.count() / ms_per_second,
            .tv_usec = duration.count() % ms_per_second * ms_per_second};
}

void invoke_callback(evutil_socket_t /*descriptor*/, short /*flags*/, void* argument) {
    // Copies the callback, since it may destroy the event_handle that owns it.
    const auto callback = *static_cast<std::function<void()>*>(argument);
    callback();
}

} // namespace detail

event_loop::event_loop() : base_(detail::new_threadsafe_base()) {}

event_handle event_loop::on_readable(int descriptor, std::function<void()> callback) {
    return add(descriptor, EV_READ | EV_PERSIST, core::duration_ms{0}, std::move(callback));
}

event_handle event_loop::every(core::duration_ms interval, std::function<void()> callback) {
    return add(-1, EV_PERSIST, interval, std::move(callback));
}

event_handle event_loop::after(core::duration_ms delay, std::function<void()> callback) {
    return add(-1, 0, delay, std::move(callback));
}

event_handle event_loop::add(int descriptor, short flags, core::duration_ms timeout,
                             std::function<void()> callback) {
    event_handle handle;
    handle.callback_ = std::make_unique<event_handle::callback>(std::move(callback));
    handle.event_.reset(
        event_new(base(), descriptor, flags, &detail::invoke_callback, handle.callback_.get()));
    if (handle.event_ == nullptr) {
        throw std::bad_alloc{};
    }
    const timeval interval = detail::to_timeval(timeout);
    event_add(handle.event_.get(), descriptor < 0 ? &interval : nullptr);
    return handle;
}

void event_loop::refresh_time() {
    event_base_update_cache_time(base());
}

void event_loop::run() {
    event_base_loop(base(), EVLOOP_NO_EXIT_ON_EMPTY);
}

void event_loop::stop() noexcept {
    event_base_loopbreak(base());
}

} // namespace hawthornstall::runtime
