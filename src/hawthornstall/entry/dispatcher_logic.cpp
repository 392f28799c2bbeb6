#include "hawthornstall/entry/dispatcher_logic.hpp"

#include "hawthornstall/core/overloaded.hpp"

#include <algorithm>
#include <utility>

namespace hawthornstall::entry {
namespace detail {

dispatcher::times current_times() {
    return {.now = core::ms_clock::now(), .wall = core::ms_clock::wall_now()};
}

} // namespace detail

dispatcher_logic::dispatcher_logic(dispatcher_options options, dispatcher_peers peers,
                                   std::function<void()> on_drained)
    : dispatcher_(std::move(options), detail::current_times()), peers_(std::move(peers)),
      on_drained_(std::move(on_drained)) {}

void dispatcher_logic::attach(runtime::event_loop& loop) {
    loop_ = &loop;
    run_timer();
}

void dispatcher_logic::handle(dispatcher_message incoming) {
    carry_out(dispatcher_.handle(std::move(incoming), detail::current_times()));
}

void dispatcher_logic::run_timer() {
    timer_at_ = core::time_ms::max();
    carry_out(dispatcher_.tick(detail::current_times()));
}

void dispatcher_logic::carry_out(dispatcher_effects effects) {
    for (auto& effect : effects) {
        // A full mailbox drops the message: peers resend, and callers reach their deadline.
        std::visit(core::overloaded{
                       [&](outgoing_message& out) { (void)peers_.links->post(std::move(out)); },
                       [&](start_order& order) { post_start(std::move(order)); },
                       [&](front_out& out) {
                           (void)peers_.fronts.at(out.front_end)->post(std::move(out.message));
                       },
                       [&](const documents_out& out) { post_documents(out.documents); },
                   },
                   effect);
    }
    if (on_drained_ && dispatcher_.is_drained()) {
        std::exchange(on_drained_, nullptr)();
    }
    if (dispatcher_.next_call() < timer_at_) {
        timer_at_ = dispatcher_.next_call();
        const auto delay = std::max(timer_at_ - core::ms_clock::now(), core::duration_ms{0});
        timer_ = loop_->after(delay, [this] { run_timer(); });
    }
}

void dispatcher_logic::post_documents(const documents_changed& documents) {
    for (const auto& front : peers_.fronts) {
        (void)front->post(documents);
    }
}

void dispatcher_logic::post_start(start_order order) {
    const task_report unsent{.service = order.service,
                             .run = order.task.run,
                             .result = task_result::not_sent,
                             .body = {}};
    if (!peers_.targets->post(std::move(order))) {
        carry_out(dispatcher_.handle(unsent, detail::current_times()));
    }
}

} // namespace hawthornstall::entry
