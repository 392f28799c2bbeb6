#include "hawthornstall/runs/message_traffic.hpp"

#include <span>

namespace hawthornstall::runs {
namespace detail {

constexpr std::string_view sent = "sent";
constexpr std::string_view received = "received";

void append_rows(std::vector<core::traffic_row>& rows, std::string_view direction,
                 std::span<const std::string_view> kinds,
                 std::span<const core::traffic_count> counts) {
    for (std::size_t index = 0; index < counts.size(); ++index) {
        rows.push_back({direction, kinds[index], counts[index]});
    }
}

} // namespace detail

std::vector<core::traffic_row> message_traffic::rows(const net::link_counters& links) const {
    std::vector<core::traffic_row> rows{
        {detail::sent, "envelope", {links.messages_sent, links.bytes_sent}},
        {detail::received, "envelope", {links.messages_received, links.bytes_received}},
        {detail::sent, "ping", {links.pings_sent, links.control_bytes_sent}},
        {detail::sent, "to_control", sent_to_control_},
        {detail::received, "from_control", received_from_control_},
        {detail::received, "request", requests_},
        {detail::sent, "answer", answers_},
        {detail::received, "wake_up", decisions_},
    };
    detail::append_rows(rows, detail::sent, run_message_names, sent_to_entry_);
    detail::append_rows(rows, detail::received, run_message_names, received_from_entry_);
    detail::append_rows(rows, detail::sent, target_call_names, calls_);
    detail::append_rows(rows, detail::received, target_call_names, call_answers_);
    std::erase_if(rows, [](const core::traffic_row& row) { return row.count.messages == 0; });
    return rows;
}

std::string describe(const std::vector<core::traffic_row>& rows) {
    std::string text;
    for (const auto& row : rows) {
        text += text.empty() ? "" : ", ";
        text += std::string{row.direction} + ' ' + std::string{row.kind} + ' ' +
                std::to_string(row.count.messages) + '/' + std::to_string(row.count.bytes);
    }
    return text;
}

} // namespace hawthornstall::runs
