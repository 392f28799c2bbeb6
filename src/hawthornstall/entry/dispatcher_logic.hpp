#pragma once

/// Loop task of the dispatcher: carries its effects to the other loop tasks and keeps its timer.

#include "hawthornstall/entry/dispatcher.hpp"
#include "hawthornstall/runtime/event_loop.hpp"
#include "hawthornstall/runtime/mailbox.hpp"

#include <functional>
#include <memory>
#include <vector>

namespace hawthornstall::entry {

/// Mailboxes of the loop tasks that the dispatcher sends to.
struct dispatcher_peers {
    std::vector<runtime::address<front_message>> fronts;
    runtime::address<outgoing_message> links;
    runtime::address<start_order> targets;
};

/// Owns the dispatcher.
class dispatcher_logic {
public:
    using message = dispatcher_message;

    /// `on_drained` is called once after a shutdown request, when nothing is left to finish.
    dispatcher_logic(dispatcher_options options, dispatcher_peers peers,
                     std::function<void()> on_drained);

    void attach(runtime::event_loop& loop);
    void handle(dispatcher_message incoming);

private:
    void run_timer();
    void carry_out(dispatcher_effects effects);
    void post_documents(const documents_changed& documents);
    void post_start(start_order order);

    dispatcher dispatcher_;
    dispatcher_peers peers_;
    std::function<void()> on_drained_;
    runtime::event_loop* loop_ = nullptr;
    runtime::event_handle timer_;
    core::time_ms timer_at_{core::time_ms::max()};
};

} // namespace hawthornstall::entry
