#pragma once

/// Counters of the messages of a dispatch host, by kind: with other entry hosts, with control
/// hosts, with targets and with callers.

#include "hawthornstall/core/traffic.hpp"
#include "hawthornstall/net/peer_links.hpp"
#include "hawthornstall/runs/run_messages.hpp"
#include "hawthornstall/runs/target_call.hpp"

#include <array>
#include <cstddef>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace hawthornstall::runs {

/// Kinds of message between entry hosts, in the order of the alternatives of run_message.
constexpr std::array<std::string_view, std::variant_size_v<run_message>> run_message_names{
    "submit_job",      "cancel_job",    "job_ended",     "start_run", "stop_run",
    "run_ended",       "target_report", "host_presence", "grant_run", "revoke_runs",
    "stop_submission", "cancel_by_id",  "cancel_result"};

/// Kinds of call to targets, in the order of the alternatives of target_request.
constexpr std::array<std::string_view, std::variant_size_v<target_request>> target_call_names{
    "target_start", "target_stop", "target_listing"};

/// Counts messages by kind and names the counters.
class message_traffic {
public:
    /// Counts messages to another entry host that were encoded together; `kind` is the index of the
    /// alternative of run_message.
    void sent(std::size_t kind, std::size_t messages, std::size_t bytes) {
        auto& count = sent_to_entry_.at(kind);
        count.messages += messages;
        count.bytes += bytes;
    }
    void received(const run_message& message) { received_from_entry_.at(message.index()).add(0); }

    void sent_to_control(std::size_t bytes) { sent_to_control_.add(bytes); }
    void received_from_control(std::size_t bytes) { received_from_control_.add(bytes); }

    /// Counts a call to a target by the sizes of its body and of the answer's body.
    void called(const target_request& request, std::size_t sent, std::size_t received) {
        calls_.at(request.index()).add(sent);
        call_answers_.at(request.index()).add(received);
    }

    void received_from_caller(std::size_t bytes) { requests_.add(bytes); }
    void sent_to_caller(std::size_t bytes) { answers_.add(bytes); }

    /// Counts one round of decisions, which follows one wake-up of the event loop.
    void decided() { decisions_.add(0); }

    /// All counters that are not zero, with those of the links: envelopes with the messages in
    /// them, and the pings.
    [[nodiscard]] std::vector<core::traffic_row> rows(const net::link_counters& links) const;

private:
    std::array<core::traffic_count, run_message_names.size()> sent_to_entry_{};
    std::array<core::traffic_count, run_message_names.size()> received_from_entry_{};
    core::traffic_count sent_to_control_;
    core::traffic_count received_from_control_;
    std::array<core::traffic_count, target_call_names.size()> calls_{};
    std::array<core::traffic_count, target_call_names.size()> call_answers_{};
    core::traffic_count requests_;
    core::traffic_count answers_;
    core::traffic_count decisions_;
};

/// One line that names the counters, for the log: "sent start_run 12/3456, ...", messages/bytes.
[[nodiscard]] std::string describe(const std::vector<core::traffic_row>& rows);

} // namespace hawthornstall::runs
