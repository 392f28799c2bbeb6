#pragma once

/// Loop task of one HTTP front end: routes requests, runs the pipelines and sends the answers.

#include "hawthornstall/entry/authenticate.hpp"
#include "hawthornstall/entry/authorize_edit.hpp"
#include "hawthornstall/entry/check_limits.hpp"
#include "hawthornstall/entry/decode_call.hpp"
#include "hawthornstall/entry/decode_edit.hpp"
#include "hawthornstall/entry/dispatcher_messages.hpp"
#include "hawthornstall/entry/resolve_service.hpp"
#include "hawthornstall/net/http_server.hpp"
#include "hawthornstall/pipeline/pipe.hpp"
#include "hawthornstall/telemetry/entry_metrics.hpp"

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace hawthornstall::entry {

/// Settings of one front end.
struct front_options {
    std::size_t number = 0;                        ///< Index among the front ends of this host.
    std::string host;                              ///< Name of this entry host.
    std::string address;                           ///< "ip:port" to listen on.
    std::vector<settings::credential> credentials; ///< Tokens that the front end accepts.
};

/// Serves callers, targets and operators. A request that needs the dispatcher's state is sent to
/// the dispatcher as a message and is answered when the dispatcher's message arrives.
class front_logic {
public:
    using message = front_message;

    /// Posts a message to the dispatcher; false when its mailbox is full.
    using dispatcher_sender = std::function<bool(dispatcher_message)>;

    /// `on_idle` is called once, when every request is answered after close_requested. `metrics`
    /// must outlive the task.
    front_logic(front_options options, dispatcher_sender to_dispatcher,
                telemetry::entry_metrics* metrics, std::function<void()> on_idle);

    /// Starts the HTTP server on `loop`. Throws std::runtime_error when it cannot listen.
    void attach(runtime::event_loop& loop);

    /// Takes a message of the dispatcher or of the host.
    void handle(front_message incoming);

private:
    using call_pipeline = pipeline::pipe<authenticate, decode_call, resolve_service, check_limits>;

    using edit_pipeline = pipeline::pipe<authorize_edit, decode_edit>;

    /// A caller's job that waits for the dispatcher's answer.
    struct open_call {
        std::string service;
        core::time_ms arrived{};
    };

    void receive(const net::http_request& request);
    void receive_get(const net::http_request& request);
    void receive_post(const net::http_request& request);
    void receive_call(const net::http_request& request, std::string_view service, call_kind kind);
    void receive_id_request(const net::http_request& request);
    void receive_target(const net::http_request& request, bool leaving);
    void receive_edit(const net::http_request& request, std::string_view service);
    void receive_view(const net::http_request& request, core::view_kind kind);
    void show_document(const net::http_request& request, std::string_view service);

    void handle(const job_answered& answered);
    void handle(const request_done& done);
    void handle(const id_issued& issued);
    void handle(const edit_answered& answered);
    void handle(const view_ready& ready);
    void handle(documents_changed changed);
    void handle(const close_requested& close);

    void send_to_dispatcher(const net::http_request& request, dispatcher_message to_dispatcher);
    void answer_error(std::uint64_t request, const absl::Status& error);
    [[nodiscard]] local_caller address_of(const net::http_request& request) const;

    front_options options_;
    dispatcher_sender to_dispatcher_;
    telemetry::entry_metrics* metrics_;
    std::function<void()> on_idle_;
    resolve_service::document_source documents_;
    std::unordered_map<std::uint64_t, open_call> open_calls_;
    call_pipeline pipeline_;
    edit_pipeline edit_pipeline_;
    std::unique_ptr<net::http_server> server_;
};

} // namespace hawthornstall::entry
