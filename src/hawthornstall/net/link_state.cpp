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

std::string describe(const link_condition& condition) {
    return "silent for " + std::to_string(condition.silence.count()) + " ms, " +
           std::to_string(condition.queued_bytes) + " bytes queued";
}

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
    if (envelope.incarnation != heard_incarnation_) {
        alive_ = {};
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
    update_sign_of_life(envelope, now);
    result.is_current =
        envelope.heard_incarnation == incarnation_ && envelope.heard_session == session_;
    return result;
}

void link_state::handle_verdict(stream_verdict verdict, reception& result) {
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

void link_state::update_sign_of_life(const peer_envelope& envelope, core::time_ms now) {
    if (envelope.heard_incarnation != incarnation_ || envelope.heard_sent_at == core::time_ms{}) {
        return;
    }
    const auto measured = envelope.sent_at - envelope.heard_at - detail::rounding;
    const auto certain = static_cast<double>(std::max(measured, core::duration_ms{}).count()) *
                         (1.0 - detail::max_rate_difference);
    const auto at =
        envelope.heard_sent_at + core::duration_ms{static_cast<core::duration_ms::rep>(certain)};
    if (at > alive_.at) {
        alive_ = {.at = std::min(at, now), .peer_time = envelope.sent_at};
    }
}

void link_state::start_session() noexcept {
    ++session_;
    sequence_ = 0;
}

void link_state::lose() noexcept {
    reachable_ = false;
    start_session();
}

void link_state::receive_bytes(std::uint64_t connection, core::time_ms at) noexcept {
    if (connection == heard_connection_) {
        last_bytes_ = std::max(last_bytes_, at);
    }
}

bool link_state::lose_if_silent(core::duration_ms limit, core::time_ms now) {
    if (!reachable_ || now - last_activity() <= limit) {
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
