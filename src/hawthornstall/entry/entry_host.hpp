#pragma once

/// One entry host: its loop tasks and the mailboxes through which they communicate.

#include "hawthornstall/entry/dispatcher_logic.hpp"
#include "hawthornstall/entry/front_logic.hpp"
#include "hawthornstall/entry/link_logic.hpp"
#include "hawthornstall/entry/target_logic.hpp"
#include "hawthornstall/runtime/loop_task.hpp"
#include "hawthornstall/settings/entry_settings.hpp"
#include "hawthornstall/telemetry/entry_metrics.hpp"
#include "hawthornstall/telemetry/log_output.hpp"

#include <atomic>
#include <functional>
#include <memory>
#include <vector>

namespace hawthornstall::entry {

/// Starts to serve on construction. The destructor ends the loop tasks without waiting for open
/// requests.
class entry_host {
public:
    /// `on_stopped` is called once, on a thread of the host, when a shutdown that shut_down()
    /// started is complete. `output` must outlive the host.
    entry_host(const settings::entry_settings& settings, telemetry::log_output& output,
               std::function<void()> on_stopped);

    /// Starts a graceful shutdown: stops accepting requests, hands over ownership, finishes the
    /// open jobs and then calls `on_stopped`.
    void shut_down();

private:
    using front_task = runtime::loop_task<front_logic>;

    void start_targets();
    void start_links(const settings::entry_settings& settings, std::uint64_t incarnation);
    void start_front(const settings::entry_settings& settings, std::size_t number);
    void loop_task_drained();

    telemetry::entry_metrics metrics_;
    std::function<void()> on_stopped_;
    std::atomic<std::size_t> loop_tasks_to_drain_; ///< The dispatcher and the front ends.
    runtime::address<dispatcher_message> dispatcher_mailbox_;
    runtime::address<outgoing_message> link_mailbox_;
    runtime::address<start_order> target_mailbox_;
    std::vector<runtime::address<front_message>> front_mailboxes_;
    std::vector<std::unique_ptr<front_task>> fronts_;
    std::unique_ptr<runtime::loop_task<target_logic>> targets_;
    std::unique_ptr<runtime::loop_task<link_logic>> links_;
    std::unique_ptr<runtime::loop_task<dispatcher_logic>> dispatcher_;
};

} // namespace hawthornstall::entry
