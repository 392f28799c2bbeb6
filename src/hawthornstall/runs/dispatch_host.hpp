#pragma once

/// Loop task (runtime::loop_task) of an entry host that runs jobs on leased targets. It owns the
/// sockets and passes messages between the front end, the scheduler and the lease holder.

#include "hawthornstall/control/applied_documents.hpp"
#include "hawthornstall/control/entry_messages.hpp"
#include "hawthornstall/control/zone_rows.hpp"
#include "hawthornstall/net/http_client.hpp"
#include "hawthornstall/net/http_server.hpp"
#include "hawthornstall/net/peer_links.hpp"
#include "hawthornstall/runs/dispatch_codec.hpp"
#include "hawthornstall/runs/dispatch_event.hpp"
#include "hawthornstall/runs/dispatch_logic.hpp"
#include "hawthornstall/runs/dispatch_options.hpp"
#include "hawthornstall/runs/early_requests.hpp"
#include "hawthornstall/runs/message_traffic.hpp"
#include "hawthornstall/runs/state_rows.hpp"
#include "hawthornstall/runs/tick_delay.hpp"
#include "hawthornstall/runtime/event_loop.hpp"
#include "hawthornstall/status/status_query.hpp"

#include <functional>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace hawthornstall::runs {

/// Starts an orderly shutdown: the host accepts no new work and calls `ended` once everything has
/// finished or the grace time is over.
struct shutdown_request {
    std::function<void()> ended;
};

/// New list of control hosts from the settings.
struct control_hosts_changed {
    std::vector<std::string> control_hosts;
};

/// Carries out the decisions of dispatch_logic: decodes its inputs with `Codec`, makes the calls to
/// targets, answers the callers, and exchanges messages with other entry hosts and control hosts.
template <dispatch_codec Codec> class dispatch_host {
public:
    /// Inputs from other threads of the process.
    using message = std::variant<shutdown_request, control_hosts_changed, status::status_query>;

    /// Receives events on the thread of the loop.
    using observer = std::function<void(const dispatch_event&)>;

    dispatch_host(dispatch_options options, observer report);

    /// Opens the sockets and starts the timer in `loop`, which must outlive this object. Throws
    /// std::runtime_error when listening on an address fails.
    void attach(runtime::event_loop& loop);

    /// Processes an input on the thread of the loop.
    void handle(message input);

private:
    /// A caller's request: its number at the HTTP server, when it was read, and when it is handled,
    /// which is later if it has waited for the configuration.
    struct arrived_request {
        std::uint64_t number = 0;
        core::time_ms read_at{};
        core::time_ms handled_at{};
    };

    void open_links();
    void open_servers();

    void on_input(shutdown_request request);
    void on_input(const control_hosts_changed& change);
    void on_input(const status::status_query& query);
    [[nodiscard]] status::status_rows rows_of(status::status_kind kind) const;

    void on_caller_request(const net::http_request& request);
    void retry_early_requests(core::time_ms arrived_by);
    void serve(arrived_request request, job_request&& job);
    void serve(arrived_request request, const count_query& query);
    void serve(arrived_request request, const job_query& query);
    void serve(arrived_request request, const job_cancellation& cancellation);
    void send_answer(std::uint64_t request, const caller_answer& answer);
    void answer_readiness(const net::http_request& request);
    void answer_caller(const job_answer& answer);
    void answer_cancellation(const cancellation_answer& answer);

    void receive(std::string_view peer, std::string_view body);
    void receive_from_control(std::string_view host, std::string_view body);
    void on_link_change(std::string_view peer, net::link_change change);
    void on_control_message(std::string_view host, const control::config_delta& delta);
    void apply_drains(std::string_view host);
    void apply_caller_limits();
    void on_control_message(std::string_view host, const control::config_digest& digest);
    void on_control_message(std::string_view host, const discovery::host_list& list);
    void on_control_message(std::string_view host, const discovery::target_updates& updates);
    template <class Message>
    void on_control_message(std::string_view /*host*/, const Message& /*message*/) {}

    void tick();
    void send_hellos();
    void subscribe(std::string_view control_host, std::uint64_t revision);
    void send_control(std::string_view host, const control::entry_to_control& message);
    void schedule_flush();
    void flush();
    void send(std::string_view host, std::span<const run_message> messages);
    void call_target(const target_call& call);
    void report_traffic();
    void finish_shutdown(core::time_ms now);
    [[nodiscard]] bool is_control_host(std::string_view name) const;
    [[nodiscard]] core::time_ms now() const noexcept { return core::ms_clock::now(); }

    dispatch_options options_;
    observer report_;
    Codec codec_;
    runtime::event_loop* loop_ = nullptr;
    std::unique_ptr<net::peer_links> links_;
    std::unique_ptr<net::http_server> caller_server_;
    std::unique_ptr<net::http_server> readiness_server_;
    std::unique_ptr<net::http_client> client_;

    control::applied_documents documents_;
    std::uint64_t drains_revision_ = 0; ///< Of the drained zones that `logic_` knows.
    route_table routes_;
    early_requests early_requests_;
    dispatch_logic logic_;
    message_traffic traffic_;
    tick_delay tick_delay_;
    core::time_ms hello_due_{};
    core::time_ms traffic_due_{};
    std::function<void()> on_shutdown_end_; ///< Called at the end of a shutdown; empty before one.
    core::time_ms leaving_since_{};
    bool closing_ = false;
    bool is_flush_scheduled_ = false;
    runtime::event_handle tick_event_;
    runtime::event_handle flush_event_;
};

} // namespace hawthornstall::runs

#include "hawthornstall/runs/detail/dispatch_host_impl.hpp"
