#pragma once

/// Loop task of the dispatcher: posts its effects to the other loop tasks and runs its timer.

#include "hawthornstall/entry/dispatcher.hpp"
#include "hawthornstall/runtime/event_loop.hpp"
#include "hawthornstall/runtime/mailbox.hpp"
#include "hawthornstall/telemetry/entry_metrics.hpp"
#include "hawthornstall/telemetry/log_output.hpp"
#include "hawthornstall/telemetry/logger.hpp"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace hawthornstall::entry {

/// Mailboxes of the loop tasks that the dispatcher sends to.
struct dispatcher_mailboxes {
    std::vector<runtime::address<front_message>> front_ends;
    runtime::address<outgoing_message> links;
    runtime::address<start_order> targets;
};

/// Owns the dispatcher, and writes its log lines, metrics and saved documents.
class dispatcher_logic {
public:
    using message = dispatcher_message;

    /// `on_drained` is called once, when no open request is left after a shutdown request.
    /// `metrics` and `output` must outlive the task. The documents are saved in `data_folder` if it
    /// is given.
    dispatcher_logic(dispatcher_options options, dispatcher_mailboxes mailboxes,
                     std::function<void()> on_drained, telemetry::entry_metrics* metrics,
                     telemetry::log_output* output, std::optional<std::string> data_folder);

    /// Binds the task to its event loop and starts the timer.
    void attach(runtime::event_loop& loop);

    /// Passes a message to the dispatcher and carries out the effects.
    void handle(dispatcher_message incoming);

private:
    void run_timer();
    void carry_out(dispatcher_effects effects);
    void post_documents(const documents_changed& documents);
    void post_start(start_order order);
    void log_peer_state(const peer_state_changed& change);
    void report_documents(const documents_changed& changed);
    void save(const control::applied_documents& documents);
    void report_ownership();

    dispatcher dispatcher_;
    dispatcher_mailboxes mailboxes_;
    std::function<void()> on_drained_;
    telemetry::entry_metrics* metrics_;
    telemetry::logger log_;
    std::optional<std::string> data_folder_;
    std::map<std::string, std::uint64_t> epochs_; ///< Epoch of each owned service, as last logged.
    runtime::event_loop* loop_ = nullptr;
    runtime::event_handle timer_;
    core::time_ms timer_at_{core::time_ms::max()};
};

} // namespace hawthornstall::entry
