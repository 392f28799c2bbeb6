#include "hawthornstall/control/append_planner.hpp"

#include <algorithm>

namespace hawthornstall::control {

std::optional<std::variant<append_request, snapshot_needed>>
plan_append(const append_round& round, const memory_log& log, const consensus_settings& settings,
            member_progress& progress, core::time_ms now) {
    if (progress.in_flight != 0 && now >= progress.resend_at) {
        progress.in_flight = 0;
    }
    const bool has_news = progress.in_flight == 0 && progress.next <= log.last().index;
    const bool is_due = progress.sent_probe < round.probe ||
                        progress.sent_commit < std::min(round.commit, progress.matched);
    if (!has_news && !is_due) {
        return std::nullopt;
    }
    progress.sent_probe = round.probe;
    append_request request{.term = round.term,
                           .previous = {},
                           .commit = round.commit,
                           .probe = round.probe,
                           .quorum_age = round.quorum_age,
                           .entries = {}};
    const auto previous_term = log.term_at(progress.next - 1);
    if (!previous_term) {
        if (progress.in_flight == 0) {
            progress.in_flight = log.base().index;
            progress.resend_at = now + settings.resend_snapshot_after;
            return snapshot_needed{};
        }
        // The position before the first entry always matches, so this is a plain heartbeat.
        return request;
    }
    request.previous = {.term = *previous_term, .index = progress.next - 1};
    if (has_news) {
        const auto entries = log.entries_from(progress.next);
        const auto count = std::min(entries.size(), settings.max_entries_per_append);
        request.entries.assign(entries.begin(),
                               entries.begin() + static_cast<std::ptrdiff_t>(count));
        progress.in_flight = request.entries.back().position.index;
        progress.resend_at = now + settings.resend_after;
    }
    progress.sent_commit = std::min(round.commit, request.previous.index + request.entries.size());
    return request;
}

void note_reply(const append_reply& reply, member_progress& progress) {
    progress.probe = std::max(progress.probe, reply.probe);
    if (reply.matched) {
        progress.matched = std::max(progress.matched, reply.index);
        progress.next = std::max(progress.next, progress.matched + 1);
        if (progress.matched >= progress.in_flight) {
            progress.in_flight = 0;
        }
    } else {
        // An old reply may ask for entries that are matched by now.
        progress.next = std::max(progress.matched, std::min(reply.index, progress.next - 1)) + 1;
        progress.in_flight = 0;
    }
}

} // namespace hawthornstall::control
