#include "hawthornstall/runs/listing_times.hpp"
#include "hawthornstall/runs/target_session.hpp"

#include <algorithm>
#include <utility>

// What a session learns from the answers of its target.
namespace hawthornstall::runs {
namespace detail {

/// A target is considered unreachable after this many unanswered listings in a row.
constexpr int max_unanswered_listings = 2;

/// Delay before a target that did not answer is called again.
constexpr core::duration_ms retry_delay{100};

} // namespace detail

void target_session::answered(std::uint64_t number, const call_answer& answer, core::time_ms now) {
    const auto found = pending_calls_.find(number);
    if (found == pending_calls_.end()) {
        return;
    }
    const auto pending = std::move(found->second);
    pending_calls_.erase(found);
    if (long_poll_ == number) {
        long_poll_.reset();
    }
    if (idle_poll_ == number) {
        idle_poll_.reset();
    }
    if (fenced_) {
        return;
    }
    if (answer.fault == call_fault::other_incarnation) {
        handle_replaced(now);
        return;
    }
    if (is_of_later_process(answer)) {
        handle_restart(now);
        return;
    }
    record_answer(pending, answer, now);
    if (answer.fault == call_fault::fenced) {
        handle_fenced(now);
    } else {
        std::visit([&](const auto& request) { handle(request, pending, answer, now); },
                   pending.request);
    }
}

/// Whether the target's clock has started anew. Its id and its address may be those of before. The
/// answers to two calls may arrive in either order, so a clock that is little behind shows nothing.
bool target_session::is_of_later_process(const call_answer& answer) const noexcept {
    const auto longest_call = detail::idle_poll_time + detail::call_timeout;
    return answer.clock_ms && lease_.clock() &&
           *answer.clock_ms < *lease_.clock() - longest_call.count();
}

void target_session::record_answer(const pending_call& call, const call_answer& answer,
                                   core::time_ms now) {
    if (answer.clock_ms) {
        // The clock was read before the answer arrived, so the target's clock is never assumed to
        // be later than it is, and no lease lasts longer than assumed.
        lease_.read_clock(*answer.clock_ms, now);
    }
    if (answer.fault == call_fault::unanswered) {
        record_late_call(call);
    }
    const bool silent =
        answer.fault == call_fault::unanswered || answer.fault == call_fault::not_delivered;
    const bool is_start_or_stop = !std::holds_alternative<list_call>(call.request);
    if (!silent) {
        reachable_ = true;
        unanswered_listings_ = 0;
        return;
    }
    // A single unanswered listing does not make the target unreachable: the answer may be lost.
    unanswered_listings_ += is_start_or_stop ? 0 : 1;
    if (answer.fault == call_fault::not_delivered ||
        unanswered_listings_ >= detail::max_unanswered_listings) {
        reachable_ = false;
        next_listing_at_ = now + detail::retry_delay;
    }
}

void target_session::handle(const start_call& request, const pending_call& /*call*/,
                            const call_answer& answer, core::time_ms now) {
    const auto entry = find(request.run);
    if (entry == runs_.end() || entry->state != phase::starting) {
        return;
    }
    if (!answer.fault) {
        entry->was_seen = true;
        entry->state = phase::running;
        entry->state_since = now;
    } else if (answer.fault == call_fault::unanswered) {
        // The target may still execute the start; only a confirmed stop rules that out.
        send_stop(*entry, now);
    } else {
        const bool is_unhealthy = answer.fault == call_fault::overloaded;
        finish(entry, is_unhealthy ? run_end::declined : run_end::rejected, now, answer.reason);
    }
}

void target_session::handle(const stop_call& request, const pending_call& /*call*/,
                            const call_answer& answer, core::time_ms now) {
    const auto entry = find(request.run);
    if (entry == runs_.end() || entry->state != phase::stopping) {
        return;
    }
    if (!answer.fault) {
        entry->state = phase::stop_confirmed;
        entry->state_since = now;
        request_listing(core::duration_ms{0}, now);
    } else {
        // tick() repeats the stop.
        log_run("run_stop_unanswered", *entry);
    }
}

void target_session::handle(const list_call& /*request*/, const pending_call& call,
                            const call_answer& answer, core::time_ms now) {
    if (answer.fault) {
        if (answer.fault == call_fault::unanswered && reachable_) {
            request_listing(core::duration_ms{0}, now);
        } else {
            next_listing_at_ = now + detail::retry_delay;
        }
        return;
    }
    apply_listing(answer.listing, call.sent, now);
    if (!runs_.empty()) {
        poll(now);
    }
}

void target_session::apply_listing(const run_listing& listing, core::time_ms sent,
                                   core::time_ms now) {
    if (incarnation_ == 0) {
        incarnation_ = listing.incarnation;
    }
    if (listing.incarnation != 0 && listing.incarnation != incarnation_) {
        handle_restart(now);
        return;
    }
    incarnation_seen_at_ = std::max(incarnation_seen_at_, sent);
    for (const auto& end : listing.ended) {
        ends_seen_ = std::max(ends_seen_, end.number);
        if (const auto entry = find(end.run); entry != runs_.end()) {
            finish(entry, end.end, now);
        }
    }
    stop_unknown_runs(listing, now);
    end_missing_runs(listing, sent, now);
    if (!std::exchange(claimed_, true)) {
        // Calls with an earlier token have no effect any more.
        lease_.drop_late_calls();
        log_target("target_claimed");
    }
}

/// Stops listed runs of an earlier lease holder, since nobody waits for them any more, and those
/// that were meant for an earlier process of the target.
void target_session::stop_unknown_runs(const run_listing& listing, core::time_ms now) {
    for (const auto& run : listing.running) {
        if (const auto entry = find(run); entry != runs_.end()) {
            entry->was_seen = true;
            if (entry->state == phase::awaiting_claim) {
                send_stop(*entry, now);
            }
            continue;
        }
        runs_.push_back(
            {.key = std::nullopt, .run = run, .resources = {}, .was_seen = true, .started = now});
        log_run("earlier_run_found", runs_.back());
        send_stop(runs_.back(), now);
    }
}

/// Ends the runs that a listing shows neither as running nor as ended. This is certain only for
/// runs whose start or stop was confirmed before the listing was sent, and for those whose start
/// had a lower token than the claim that the listing answers.
void target_session::end_missing_runs(const run_listing& listing, core::time_ms sent,
                                      core::time_ms now) {
    for (auto entry = runs_.begin(); entry != runs_.end();) {
        const bool is_listed =
            std::ranges::find(listing.running, entry->run) != listing.running.end();
        const bool is_confirmed =
            (entry->state == phase::running || entry->state == phase::stop_confirmed) &&
            entry->state_since < sent;
        const bool is_fenced_off = entry->state == phase::awaiting_claim;
        if (is_listed || (!is_confirmed && !is_fenced_off)) {
            ++entry;
            continue;
        }
        const auto offset = entry - runs_.begin();
        finish(entry, entry->state == phase::stop_confirmed ? run_end::stopped : run_end::lost,
               now);
        entry = runs_.begin() + offset;
    }
}

/// The runs of the earlier process have ended with it. Those that the new one may execute, now or
/// later, are kept until it has answered its claim: the claim's token keeps them from starting, and
/// its listing shows those that have started.
void target_session::handle_restart(core::time_ms now) {
    restarted_ = true;
    log_target("target_restarted");
    forget_process();
    const auto ended =
        std::stable_partition(runs_.begin(), runs_.end(), [this](const run_entry& entry) {
            return may_be_in_later_process(entry);
        });
    std::for_each(ended, runs_.end(),
                  [&](const run_entry& entry) { report(entry, run_end::lost, {}, now); });
    runs_.erase(ended, runs_.end());
    for (auto& entry : runs_) {
        entry.state = phase::awaiting_claim;
        entry.state_since = now;
    }
}

/// Another target answers at the address, and would do so until the session's target is announced
/// elsewhere. A process of the session's target may have been there in between.
void target_session::handle_replaced(core::time_ms now) {
    replaced_ = true;
    log_target("target_replaced");
    forget_process();
    for (const auto& entry : runs_) {
        report(entry, run_end::lost,
               may_be_in_later_process(entry) ? time_until_ended() : core::duration_ms{}, now);
    }
    runs_.clear();
}

/// Discards what is known of the process that the session was with.
void target_session::forget_process() {
    claimed_ = false;
    incarnation_ = 0;
    ends_seen_ = ends_acknowledged_ = 0;
    lease_.forget_process();
    for (const auto& [number, call] : pending_calls_) {
        record_late_call(call);
    }
    pending_calls_.clear();
    long_poll_.reset();
    idle_poll_.reset();
}

/// Whether the start of a run may have reached a later process than the one that has listed its
/// runs last.
bool target_session::may_be_in_later_process(const run_entry& entry) const noexcept {
    return entry.key && entry.started >= incarnation_seen_at_;
}

/// Longest time until runs that this session no longer controls have ended: another holder stops
/// them, or their lease ends.
core::duration_ms target_session::time_until_ended() const noexcept {
    return lease_upper_bound(bounds_.longest_lease) + bounds_.stop_time;
}

/// Another host holds the target now. It stops the runs, or their leases expire, so their tasks may
/// start elsewhere only after the longest time that either takes.
void target_session::handle_fenced(core::time_ms now) {
    fenced_ = true;
    log_target("target_fenced");
    finish_all(run_end::lost, time_until_ended(), now);
}

} // namespace hawthornstall::runs
