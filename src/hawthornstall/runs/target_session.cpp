#include "hawthornstall/runs/target_session.hpp"

#include "hawthornstall/runs/listing_times.hpp"

#include <algorithm>
#include <utility>

namespace hawthornstall::runs {
namespace detail {

/// Timeout of start and stop calls, which are normally answered in about a millisecond. An
/// unanswered start is stopped and an unanswered stop repeated, so that the task can start
/// elsewhere while its caller still waits.
constexpr core::duration_ms start_stop_timeout{50};

/// A long poll lasts at most the longest lease divided by this number. A lost renewal can then be
/// repeated before the lease expires, and an end whose answer is lost is soon listed again.
constexpr int long_polls_per_lease = 4;

/// Delay between listings sent by tick().
constexpr core::duration_ms listing_interval{200};

/// Whether `request` extends the lease of the target's runs.
bool has_lease(const target_request& request) {
    const auto* const listing = std::get_if<list_call>(&request);
    return listing == nullptr ? std::holds_alternative<start_call>(request)
                              : listing->lease_until_ms.has_value();
}

} // namespace detail

target_session::target_session(discovery::target_record record, std::uint64_t token,
                               run_bounds bounds, const front_end_liveness& front_ends,
                               core::time_ms now)
    : record_(std::move(record)), token_(token), bounds_(bounds), front_ends_(&front_ends),
      lease_(bounds, now), next_listing_at_(now), incarnation_(record_.incarnation) {
    request_listing(core::duration_ms{0}, now);
}

bool target_session::is_restart(const discovery::target_record& record) const noexcept {
    const bool is_known =
        record.incarnation == record_.incarnation || record.incarnation == incarnation_;
    return !is_known || record.address != record_.address;
}

void target_session::claim_restarted(const discovery::target_record& record, std::uint64_t token,
                                     core::time_ms now) {
    handle_restart(now);
    record_ = record;
    incarnation_ = record.incarnation;
    replaced_ = false;
    claim_unannounced(token, now);
}

void target_session::claim_unannounced(std::uint64_t token, core::time_ms now) {
    restarted_ = false;
    token_ = token;
    request_listing(core::duration_ms{0}, now);
}

void target_session::start(const std::string& front_end, const start_run& message,
                           core::time_ms now) {
    const run_entry entry{.key = run_key{message.scheduler, message.key},
                          .run = message.run,
                          .resources = message.resources,
                          .front_end = front_end,
                          .submission = message.submission,
                          .caller_leaves_at = message.caller_leaves_at,
                          .state = phase::starting,
                          .started = now,
                          .state_since = now};
    auto reason = reason_to_reject(message);
    if (reason.empty() && lease_.end() && *lease_.end() > lease_.clock_by(latest_end(entry))) {
        // A lease cannot be shortened, so the run could outlive what its caller waits.
        reason = "the front end was not heard of for too long";
    }
    runs_.push_back(entry);
    const auto lease = reason.empty() ? renew_lease(now) : std::nullopt;
    if (reason.empty() && !lease) {
        reason = "there is no lease on the target";
    }
    if (!reason.empty()) {
        runs_.pop_back();
        report(entry, run_end::rejected, {}, now, reason);
        return;
    }
    log_run("run_start_sent", entry);
    send_call(start_call{message.run, message.specification, *lease}, detail::start_stop_timeout,
              now);
    poll(now);
}

std::string_view target_session::reason_to_reject(const start_run& message) const {
    auto free = record_.capacity;
    for (const auto& known : runs_) {
        free -= known.resources;
    }
    if (!usable()) {
        return "the target takes no runs now";
    }
    if (!free.holds(message.resources)) {
        return "not enough free resources on the target";
    }
    return std::ranges::find(runs_, message.run, &run_entry::run) == runs_.end()
               ? std::string_view{}
               : "the run already exists";
}

bool target_session::stop(const run_key& key, core::time_ms now) {
    const auto entry = std::ranges::find(runs_, key, &run_entry::key);
    if (entry == runs_.end()) {
        return false;
    }
    if (entry->needs_stop()) {
        send_stop(*entry, now);
    }
    return true;
}

void target_session::stop_all_of(std::string_view scheduler, std::uint64_t last_key,
                                 core::time_ms now) {
    for (auto& entry : runs_) {
        if (entry.key && entry.key->scheduler == scheduler && entry.key->number <= last_key &&
            entry.needs_stop()) {
            send_stop(entry, now);
        }
    }
}

void target_session::stop_submission_of(std::string_view front_end, std::uint64_t submission,
                                        core::time_ms now) {
    for (auto& entry : runs_) {
        if (entry.front_end == front_end && entry.submission == submission && entry.needs_stop()) {
            send_stop(entry, now);
        }
    }
}

void target_session::stop_all_of_front_end(std::string_view front_end, core::time_ms now) {
    for (auto& entry : runs_) {
        if (entry.front_end == front_end && entry.needs_stop()) {
            send_stop(entry, now);
        }
    }
}

void target_session::send_stop(run_entry& entry, core::time_ms now) {
    entry.state = phase::stopping;
    entry.state_since = now;
    send_call(stop_call{entry.run}, detail::start_stop_timeout, now);
}

void target_session::tick(core::time_ms now) {
    if (fenced_ || restarted_ || replaced_) {
        return;
    }
    lease_.drop_expired_late_calls(now);
    if (!reachable_ && now > lease_.ended_by()) {
        end_expired_runs(now);
    }
    for (auto& entry : runs_) {
        const bool unanswered =
            entry.state == phase::stopping && now - entry.state_since > detail::start_stop_timeout;
        if (unanswered) {
            send_stop(entry, now);
        }
    }
    if (now < next_listing_at_ || long_poll_ || idle_poll_) {
        return;
    }
    if (claimed_ && reachable_ && runs_.empty()) {
        poll(now);
    } else {
        request_listing(core::duration_ms{0}, now);
    }
}

/// Keeps a long poll in flight. The one of an idle target does not renew the lease, so a run that
/// starts meanwhile gets another one.
void target_session::poll(core::time_ms now) {
    auto& in_flight = runs_.empty() ? idle_poll_ : long_poll_;
    if (in_flight) {
        return;
    }
    in_flight = last_call_ + 1;
    request_listing(runs_.empty() ? detail::idle_poll_time
                                  : bounds_.longest_lease / detail::long_polls_per_lease,
                    now);
}

/// Asks for a listing, as a long poll if `wait` is not zero.
void target_session::request_listing(core::duration_ms wait, core::time_ms now) {
    if (wait.count() == 0) {
        next_listing_at_ = now + detail::listing_interval;
    }
    ends_acknowledged_ = ends_seen_;
    // An unreachable target gets no new leases: otherwise it would never be certain that its runs
    // have ended.
    const bool is_renewal = !runs_.empty() && reachable_ && !has_unanswered_stop();
    const auto lease = is_renewal ? renew_lease(now) : std::nullopt;
    send_call(list_call{ends_seen_, lease, wait}, wait + detail::call_timeout, now);
}

/// Extends the lease unless a stop is unanswered, and returns its end on the target's clock; empty
/// while there is no lease or that clock is not known. All runs on a target share its lease.
std::optional<std::int64_t> target_session::renew_lease(core::time_ms now) {
    if (lease_.clock() && !has_unanswered_stop()) {
        lease_.extend(longest_lease_end(now), now);
    }
    return lease_.end();
}

/// Latest end of a lease, on the target's clock: the target allows no longer one, and no caller of
/// a run on the target can be back by then.
std::int64_t target_session::longest_lease_end(core::time_ms now) const {
    auto end = lease_.longest_end(now);
    for (const auto& entry : runs_) {
        if (entry.key && entry.state != phase::stop_confirmed) {
            end = std::min(end, lease_.clock_by(latest_end(entry)));
        }
    }
    return end;
}

/// Time by which a run must have ended, because its caller can submit the job again then.
core::time_ms target_session::latest_end(const run_entry& entry) const {
    return latest_run_end(bounds_,
                          front_ends_->last_served(entry.front_end, entry.caller_leaves_at));
}

bool target_session::has_unanswered_stop() const noexcept {
    return std::ranges::find(runs_, phase::stopping, &run_entry::state) != runs_.end();
}

void target_session::send_call(target_request request, core::duration_ms timeout,
                               core::time_ms now) {
    const auto number = ++last_call_;
    pending_calls_[number] = {.request = request, .sent = now};
    effects_.calls.push_back({.number = number,
                              .target = record_.id,
                              .address = record_.address,
                              .fencing_token = token_,
                              .timeout = timeout,
                              .request = std::move(request)});
}

void target_session::finish(std::vector<run_entry>::iterator entry, run_end end, core::time_ms now,
                            std::string_view reason) {
    report(*entry, end, {}, now, reason);
    runs_.erase(entry);
}

/// Remembers a call without an answer that extends the lease.
void target_session::record_late_call(const pending_call& call) {
    if (detail::has_lease(call.request)) {
        lease_.add_late_call(call.sent);
    }
}

/// Ends the runs that no lease keeps alive. A run whose start was never confirmed may still start.
void target_session::end_expired_runs(core::time_ms now) {
    const auto may_start = [&](const run_entry& entry) {
        return !entry.was_seen && now <= lease_.late_runs_ended_by();
    };
    const auto expired = std::stable_partition(runs_.begin(), runs_.end(), may_start);
    if (expired == runs_.end()) {
        return;
    }
    log_target("leases_expired");
    std::for_each(expired, runs_.end(),
                  [&](const run_entry& entry) { report(entry, run_end::lapsed, {}, now); });
    runs_.erase(expired, runs_.end());
}

void target_session::finish_all(run_end end, core::duration_ms restart_delay, core::time_ms now) {
    for (const auto& entry : runs_) {
        report(entry, end, restart_delay, now);
    }
    runs_.clear();
}

void target_session::report(const run_entry& entry, run_end end, core::duration_ms restart_delay,
                            core::time_ms now, std::string_view reason) {
    if (entry.key) {
        effects_.reports.push_back(
            {entry.key->scheduler, run_ended{.key = entry.key->number,
                                             .end = end,
                                             .ran_for = now - entry.started,
                                             .reason = std::string{reason},
                                             .restart_delay = restart_delay}});
    }
}

void target_session::log_run(std::string_view what, const run_entry& entry) {
    auto detail = "run " + std::to_string(entry.run.number) + " of task " +
                  std::to_string(entry.run.task.step) + '.' + std::to_string(entry.run.task.index);
    if (entry.key) {
        detail += ", key " + std::to_string(entry.key->number) + " of " + entry.key->scheduler;
    }
    effects_.events.push_back({what, entry.run.task.job, std::move(detail)});
}

void target_session::log_target(std::string_view what) {
    effects_.events.push_back({what,
                               {},
                               "token " + std::to_string(token_) + ", " +
                                   std::to_string(runs_.size()) + " runs on the target"});
}

std::vector<target_session::run_entry>::iterator target_session::find(const run_name& run) {
    return std::ranges::find(runs_, run, &run_entry::run);
}

bool target_session::has_earlier_holders_runs() const noexcept {
    return std::ranges::any_of(runs_, [](const run_entry& entry) { return !entry.key; });
}

bool target_session::usable() const noexcept {
    return reason_not_usable().empty();
}

std::string_view target_session::reason_not_usable() const noexcept {
    if (!claimed_) {
        return "it has not listed its runs yet";
    }
    if (!reachable_) {
        return "it does not answer";
    }
    if (fenced_) {
        return "another host has taken it over";
    }
    if (record_.incarnation != 0 && record_.incarnation != incarnation_) {
        return "it has restarted and has not been announced";
    }
    if (record_.draining) {
        return "it is draining";
    }
    return has_earlier_holders_runs() ? "runs of an earlier holder are still on it" : "";
}

core::resources target_session::used_by_others(std::string_view scheduler) const {
    core::resources used;
    for (const auto& entry : runs_) {
        if (!entry.key || entry.key->scheduler != scheduler) {
            used += entry.resources;
        }
    }
    return used;
}

} // namespace hawthornstall::runs
