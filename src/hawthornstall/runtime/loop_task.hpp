#pragma once

/// A thread that owns an event loop, its sockets and its state. Other tasks communicate with it
/// only by messages.

#include "hawthornstall/runtime/event_loop.hpp"
#include "hawthornstall/runtime/mailbox.hpp"

#include <concepts>
#include <exception>
#include <future>
#include <memory>
#include <thread>
#include <utility>

namespace hawthornstall::runtime {

/// Requirements on the logic of a loop task: attach() registers its sockets and timers with the
/// loop; handle() then processes one message at a time. Both run on the thread of the task.
template <class Logic>
concept loop_logic = requires(Logic logic, event_loop& loop, typename Logic::message message) {
    logic.attach(loop);
    logic.handle(std::move(message));
};

/// Runs `Logic` and its event loop on a separate thread.
template <loop_logic Logic> class loop_task {
public:
    using message = typename Logic::message;

    /// Starts the thread, which constructs the logic from `arguments`, attaches it and then
    /// processes messages from `inbox`. Returns once the logic is attached. Rethrows an exception
    /// of the constructor of the logic or of attach().
    template <class... Arguments>
    explicit loop_task(address<message> inbox, Arguments... arguments) : inbox_(std::move(inbox)) {
        std::promise<void> attached;
        auto ready = attached.get_future();
        thread_ = std::thread{
            [this, attached = std::move(attached), ... arguments = std::move(arguments)]() mutable {
                run(std::move(attached), std::move(arguments)...);
            }};
        try {
            ready.get();
        } catch (...) {
            thread_.join();
            throw;
        }
    }

    ~loop_task() { stop(); }
    loop_task(const loop_task&) = delete;
    loop_task& operator=(const loop_task&) = delete;
    loop_task(loop_task&&) = delete;
    loop_task& operator=(loop_task&&) = delete;

    /// Closes the inbox, processes the messages that are already queued and joins the thread.
    void stop() {
        inbox_->close();
        stop_request_.signal();
        if (thread_.joinable()) {
            thread_.join();
        }
    }

private:
    template <class... Arguments> void run(std::promise<void> attached, Arguments... arguments) {
        std::unique_ptr<Logic> logic;
        try {
            logic = std::make_unique<Logic>(std::move(arguments)...);
            logic->attach(loop_);
        } catch (...) {
            attached.set_exception(std::current_exception());
            return;
        }
        attached.set_value();
        run_loop(*logic);
    }

    void run_loop(Logic& logic) {
        const auto handle_queued = [this, &logic] {
            for (auto& item : inbox_->take_all()) {
                logic.handle(std::move(item));
            }
        };
        const auto inbox_event = loop_.on_readable(inbox_->descriptor(), handle_queued);
        const auto stop_event =
            loop_.on_readable(stop_request_.descriptor(), [this] { loop_.stop(); });
        loop_.run();
        // Messages that were queued before stop() closed the inbox.
        handle_queued();
    }

    address<message> inbox_;
    wakeup stop_request_;
    event_loop loop_;
    std::thread thread_;
};

} // namespace hawthornstall::runtime
