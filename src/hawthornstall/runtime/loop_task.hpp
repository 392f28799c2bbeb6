#pragma once

/// A thread that owns an event loop, its sockets and its state, and is reached by messages only.

#include "hawthornstall/runtime/event_loop.hpp"
#include "hawthornstall/runtime/mailbox.hpp"

#include <concepts>
#include <exception>
#include <future>
#include <memory>
#include <thread>
#include <utility>

namespace hawthornstall::runtime {

/// What a loop task runs: it sets up its sockets and timers in attach() and then takes messages.
template <class Logic>
concept loop_logic = requires(Logic logic, event_loop& loop, typename Logic::message message) {
    logic.attach(loop);
    logic.handle(std::move(message));
};

/// Runs `Logic` on a thread of its own.
template <loop_logic Logic> class loop_task {
public:
    using message = typename Logic::message;

    /// Takes messages from `inbox`; `arguments` construct the logic on the task's own thread.
    /// Returns once the logic is attached; an exception that attaching throws is passed on.
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

    /// Ends the loop after the messages that are queued now, and joins the thread.
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
        serve(*logic);
    }

    void serve(Logic& logic) {
        const auto deliver = [this, &logic] {
            for (auto& item : inbox_->take_all()) {
                logic.handle(std::move(item));
            }
        };
        const auto inbox_event = loop_.on_readable(inbox_->descriptor(), deliver);
        const auto stop_event =
            loop_.on_readable(stop_request_.descriptor(), [this] { loop_.stop(); });
        loop_.run();
        deliver();
    }

    address<message> inbox_;
    wakeup stop_request_;
    event_loop loop_;
    std::thread thread_;
};

} // namespace hawthornstall::runtime
