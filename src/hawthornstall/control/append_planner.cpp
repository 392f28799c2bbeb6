#include "hawthornstall/control/append_planner.hpp"

#include <algorithm>

namespace hawthornstall::control {
namespace detail {

void clear_in_flight(member_progress& progress) {
    progress.in_flight_index = 0;
    progress.snapshot_round.reset();
}

/// Whether `reply` shows that the member has not received the snapshot in flight, or that its reply
/// to it was lost. Messages on a link arrive in their order, so a member that answers a later round
/// has answered the snapshot before.
bool shows_lost_snapshot(const append_reply& reply, const member_progress& progress) {
    return progress.snapshot_round && reply.round > *progress.snapshot_round;
}

} // namespace detail

std::optional<std::variant<append_request, snapshot_needed>>
plan_append(const append_header& header, const memory_log& log, const consensus_settings& settings,
            member_progress& progress, core::time_ms now) {
    if (progress.in_flight_index != 0 && now >= progress.resend_at) {
        detail::clear_in_flight(progress);
    }
    const bool has_entries =
        progress.in_flight_index == 0 && progress.next_index <= log.last().index;
    const bool needs_heartbeat =
        progress.sent_round < header.round ||
        progress.sent_commit < std::min(header.commit, progress.match_index);
    if (!has_entries && !needs_heartbeat) {
        return std::nullopt;
    }
    progress.sent_round = header.round;
    append_request request{.term = header.term,
                           .previous = {},
                           .commit = header.commit,
                           .round = header.round,
                           .confirmation_age = header.confirmation_age,
                           .entries = {}};
    const auto previous_term = log.term_at(progress.next_index - 1);
    if (!previous_term) {
        if (progress.in_flight_index == 0) {
            progress.in_flight_index = log.base().index;
            progress.snapshot_round = header.round;
            progress.resend_at = now + settings.resend_snapshot_after;
            return snapshot_needed{};
        }
        // The position before the first entry always matches, so the request acts as a heartbeat
        // while the snapshot is in flight.
        return request;
    }
    request.previous = {.term = *previous_term, .index = progress.next_index - 1};
    if (has_entries) {
        const auto entries = log.entries_from(progress.next_index);
        const auto count = std::min(entries.size(), settings.max_entries_per_append);
        request.entries.assign(entries.begin(),
                               entries.begin() + static_cast<std::ptrdiff_t>(count));
        progress.in_flight_index = request.entries.back().position.index;
        progress.resend_at = now + settings.resend_after;
    }
    progress.sent_commit = std::min(header.commit, request.previous.index + request.entries.size());
    return request;
}

void record_reply(const append_reply& reply, member_progress& progress) {
    progress.answered_round = std::max(progress.answered_round, reply.round);
    if (reply.matched) {
        progress.match_index = std::max(progress.match_index, reply.index);
        progress.next_index = std::max(progress.next_index, progress.match_index + 1);
        if (progress.match_index >= progress.in_flight_index ||
            detail::shows_lost_snapshot(reply, progress)) {
            detail::clear_in_flight(progress);
        }
    } else {
        // A delayed reply may ask for entries that have been matched in the meantime.
        progress.next_index =
            std::max(progress.match_index, std::min(reply.index, progress.next_index - 1)) + 1;
        detail::clear_in_flight(progress);
    }
}

} // namespace hawthornstall::control
