#include "hawthornstall/net/link_state.hpp"

#include <algorithm>
#include <string>

namespace hawthornstall::net {
namespace detail {

/// Largest difference of the rates of two hosts' steady clocks, as a share of the elapsed time.
constexpr double max_rate_difference = 0.02;

/// Times are rounded down to whole milliseconds, so a difference of two can be this much too large.
constexpr core::duration_ms rounding{1};

} // namespace detail

reception link_state::receive(const peer_envelope& envelope, std::uint64_t connection,
                              core::time_ms now) {
    // An envelope of a process that has ended can arrive after the first one of its successor, but
    // only on a connection that was accepted earlier.
    if (connection < heard_connection_ && envelope.incarnation != heard_incarnation_) {
        return {};
    }
    const auto verdict = received_.check({.incarnation = envelope.incarnation,
                                          .session = envelope.session,
                                          .sequence = envelope.sequence},
                                         envelope.kind == envelope_kind::data);
    if (verdict == stream_verdict::outdated) {
        return {};
    }
    reception result{.accepted = true};
    heard_connection_ = std::max(heard_connection_, connection);
    heard_incarnation_ = envelope.incarnation;
    heard_session_ = envelope.session;
    heard_sent_at_ = envelope.sent_at;
    last_heard_ = now;
    handle_verdict(verdict, result);
    if (!reachable_) {
        reachable_ = true;
        result.changes.push_back(link_change::reachable);
    }
    update_alive_at(envelope, now);
    result.is_current =
        envelope.heard_incarnation == incarnation_ && envelope.heard_session == session_;
    return result;
}

void link_state::handle_verdict(stream_verdict verdict, reception& result) {
    if (verdict == stream_verdict::restarted) {
        alive_at_ = {};
        answered_sent_at_ = {};
    }
    if (verdict == stream_verdict::in_order || !reachable_) {
        return;
    }
    if (verdict == stream_verdict::restarted) {
        lose();
        result.changes.push_back(link_change::unreachable);
        return;
    }
    if (verdict == stream_verdict::gap) {
        // A peer that has resumed knows of the loss; a new session would interrupt it again.
        start_session();
    }
    result.changes.push_back(link_change::interrupted);
}

void link_state::update_alive_at(const peer_envelope& envelope, core::time_ms now) {
    if (envelope.heard_incarnation != incarnation_ || envelope.heard_sent_at == core::time_ms{}) {
        return;
    }
    answered_sent_at_ = envelope.heard_sent_at;
    answered_heard_at_ = envelope.heard_at;
    alive_at_ = std::max(alive_at_, std::min(earliest_local_time(envelope.sent_at), now));
}

core::time_ms link_state::earliest_local_time(core::time_ms peer_time) const noexcept {
    if (answered_sent_at_ == core::time_ms{}) {
        return {};
    }
    const auto since = peer_time - answered_heard_at_ - detail::rounding;
    const auto factor =
        since.count() > 0 ? 1.0 - detail::max_rate_difference : 1.0 + detail::max_rate_difference;
    return answered_sent_at_ + core::duration_ms{static_cast<core::duration_ms::rep>(
                                   factor * static_cast<double>(since.count()))};
}

void link_state::start_session() noexcept {
    ++session_;
    sequence_ = 0;
}

void link_state::lose() noexcept {
    reachable_ = false;
    start_session();
}

bool link_state::lose_if_silent(core::duration_ms limit, core::time_ms now) {
    if (!reachable_ || now - last_heard_ <= limit) {
        return false;
    }
    received_.reset();
    lose();
    return true;
}

peer_envelope link_state::next_envelope(std::string_view sender, envelope_kind kind,
                                        std::string_view body, core::time_ms now) {
    sequence_ += kind == envelope_kind::data ? 1 : 0;
    return {.sender = std::string{sender},
            .incarnation = incarnation_,
            .kind = kind,
            .body = std::string{body},
            .session = session_,
            .sequence = sequence_,
            .heard_incarnation = heard_incarnation_,
            .heard_session = heard_session_,
            .sent_at = now,
            .heard_sent_at = heard_sent_at_,
            .heard_at = last_heard_};
}

} // namespace hawthornstall::net
