#include "hawthornstall/control/append_planner.hpp"

#include "hawthornstall/control/entry_size.hpp"

#include <algorithm>
#include <span>

namespace hawthornstall::control {
namespace detail {

void set_in_flight(member_progress& progress, std::uint64_t last_index, std::uint64_t round,
                   core::time_ms resend_at) {
    progress.in_flight_index = last_index;
    progress.in_flight_round = round;
    progress.resend_at = resend_at;
}

void clear_in_flight(member_progress& progress) {
    progress.in_flight_index = 0;
    progress.is_snapshot_in_flight = false;
}

/// Whether `reply` shows that the member has not received what is in flight, or that its reply to
/// it was lost. Messages on a link arrive in their order, so a member that answers a later round
/// has answered the earlier message before.
bool shows_loss(const append_reply& reply, const member_progress& progress) {
    return progress.in_flight_index != 0 && reply.round > progress.in_flight_round;
}

/// The first of `entries`, limited in number and bytes; at least one if there is any.
std::span<const log_entry> first_batch(std::span<const log_entry> entries,
                                       const consensus_settings& settings) {
    const auto most = std::min(entries.size(), settings.max_entries_per_append);
    std::size_t count = 0;
    std::size_t bytes = 0;
    while (count < most) {
        bytes += entry_bytes(entries[count]);
        if (count > 0 && bytes > settings.max_bytes_per_append) {
            break;
        }
        ++count;
    }
    return entries.first(count);
}

} // namespace detail

std::optional<std::variant<append_request, snapshot_needed>>
plan_append(const append_header& header, const memory_log& log, const consensus_settings& settings,
            member_progress& progress, core::time_ms now) {
    if (progress.in_flight_index != 0 && now >= progress.resend_at) {
        detail::clear_in_flight(progress);
    }
    const auto previous_term = log.term_at(progress.next_index - 1);
    const bool has_entries = progress.in_flight_index == 0 &&
                             progress.next_index <= log.last().index &&
                             (previous_term || header.may_send_snapshot);
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
    if (!previous_term) {
        if (has_entries) {
            detail::set_in_flight(progress, log.base().index, header.round,
                                  now + settings.resend_after);
            progress.is_snapshot_in_flight = true;
            return snapshot_needed{};
        }
        // The position before the first entry always matches, so the request acts as a heartbeat
        // while the snapshot is in flight or waits.
        return request;
    }
    request.previous = {.term = *previous_term, .index = progress.next_index - 1};
    if (has_entries) {
        const auto entries = detail::first_batch(log.entries_from(progress.next_index), settings);
        request.entries.assign(entries.begin(), entries.end());
        detail::set_in_flight(progress, entries.back().position.index, header.round,
                              now + settings.resend_after);
    }
    progress.sent_commit = std::min(header.commit, request.previous.index + request.entries.size());
    return request;
}

void record_reply(const append_reply& reply, member_progress& progress) {
    progress.answered_round = std::max(progress.answered_round, reply.round);
    if (reply.matched) {
        progress.matched_round = std::max(progress.matched_round, reply.round);
        progress.match_index = std::max(progress.match_index, reply.index);
        progress.next_index = std::max(progress.next_index, progress.match_index + 1);
        if (progress.match_index >= progress.in_flight_index ||
            detail::shows_loss(reply, progress)) {
            detail::clear_in_flight(progress);
        }
    } else {
        // A delayed reply may ask for entries that have been matched in the meantime. A reply to a
        // later round tells that the member has lost entries that it had.
        if (reply.round > progress.matched_round) {
            progress.match_index = std::min(progress.match_index, reply.index);
        }
        progress.next_index =
            std::max(progress.match_index, std::min(reply.index, progress.next_index - 1)) + 1;
        detail::clear_in_flight(progress);
    }
}

} // namespace hawthornstall::control
