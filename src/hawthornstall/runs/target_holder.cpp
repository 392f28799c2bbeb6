#include "hawthornstall/runs/target_holder.hpp"

#include <algorithm>
#include <limits>
#include <utility>

namespace hawthornstall::runs {
namespace detail {

/// A new process waits this long for the presence messages of other hosts before it claims targets.
constexpr core::duration_ms startup_delay{1'000};

/// A new process that knows other hosts waits no longer than this after it has learned of the last
/// one. Hosts that are up are linked to within two attempts to connect, 250 ms apart at most.
constexpr core::duration_ms settling_time{300};

/// Delay before a target that refused a fencing token is claimed again. By then another lease
/// holder, if there is one, has announced that it holds the target.
constexpr core::duration_ms fenced_retry_delay{300};

/// A target that has not answered its claim within this time is considered unreachable.
constexpr core::duration_ms claim_timeout{700};

/// Delay before an unreachable target is claimed again. After a network partition heals, a lease
/// holder in the target's own zone announces itself within this time; an earlier claim would stop
/// the runs there.
constexpr core::duration_ms unreachable_retry_delay{3'000};

/// Shortest interval between two reports to the schedulers.
constexpr core::duration_ms report_interval{100};

/// An unchanged report is repeated after this time, since a new scheduler may have missed the last.
constexpr core::duration_ms report_repeat_interval{500};

/// How long a stop of an unknown run is remembered; a start message is not expected any later.
constexpr core::duration_ms early_stop_retention{10'000};

/// A scheduler that has started no run for this long gets no reports, unless it is the current one.
constexpr core::duration_ms scheduler_expiry{5'000};

constexpr std::string_view drained_reason = "the availability zone of the target is drained";

} // namespace detail

std::uint64_t fencing_tokens::next(std::string_view target, core::time_ms wall) {
    constexpr std::int64_t ms_per_second = 1000;
    const auto now = static_cast<std::uint64_t>(
        std::max<std::int64_t>(core::to_count(wall) / ms_per_second - token_origin_s, 1));
    latest_second_ = latest_second_ == 0 ? now + 1 : std::max(latest_second_, now);
    std::erase_if(used_, [this](const auto& item) { return item.second.second < latest_second_; });
    auto& used = used_[std::string{target}];
    used.second = std::max(used.second + 1, latest_second_);
    return (used.second << host_bit_count) | host_bits_;
}

void fencing_tokens::skip_ahead(std::string_view target) {
    auto& used = used_[std::string{target}];
    used.second = std::max(used.second, latest_second_) + used.skip_s;
    used.skip_s = std::min(2 * used.skip_s, longest_skip_s);
}

target_holder::target_holder(run_bounds bounds, std::uint64_t host_bits, core::time_ms now)
    : bounds_(bounds), tokens_(host_bits), front_ends_(std::make_unique<front_end_liveness>()),
      first_claim_at_(now + detail::startup_delay) {}

void target_holder::start(const std::string& front_end, const start_run& message,
                          core::time_ms now) {
    schedulers_[message.scheduler] = now;
    const run_key key{message.scheduler, message.key};
    const auto found = sessions_.find(message.target);
    if (found == sessions_.end() || found->second.released) {
        reject(key, "the target is not held here any more");
        return;
    }
    if (const auto reason = reason_to_reject(key); !reason.empty()) {
        reject(key, reason);
        return;
    }
    // The scheduler may have decided before it learned of the drain.
    if (is_drained(found->second.session.record())) {
        reject(key, detail::drained_reason);
        return;
    }
    found->second.session.start(front_end, message, now);
    collect_effects(found->second.session);
}

std::string_view target_holder::reason_to_reject(const run_key& run) const {
    if (early_stops_.contains(run)) {
        return "stopped before its start message arrived";
    }
    if (lost_schedulers_.contains(run.scheduler)) {
        return "the link to the scheduler was lost";
    }
    const auto revoked = revoked_.find(run.scheduler);
    return revoked != revoked_.end() && run.number <= revoked->second
               ? "the scheduler has given up the run"
               : std::string_view{};
}

void target_holder::stop(const std::string& scheduler, const stop_run& message, core::time_ms now) {
    const run_key key{scheduler, message.key};
    const auto found = sessions_.find(message.target);
    if (found == sessions_.end() || !found->second.session.stop(key, now)) {
        early_stops_[key] = now;
        reject(key, "no such run is known");
        return;
    }
    collect_effects(found->second.session);
}

void target_holder::reject(const run_key& run, std::string_view reason) {
    effects_.messages.push_back(
        {run.scheduler,
         run_ended{.key = run.number, .end = run_end::rejected, .reason = std::string{reason}}});
}

void target_holder::revoke(const std::string& scheduler, const revoke_runs& message,
                           core::time_ms now) {
    lost_schedulers_.erase(scheduler);
    revoked_[scheduler] = message.last_key;
    for (auto& [id, held] : sessions_) {
        held.session.stop_all_of(scheduler, message.last_key, now);
        collect_effects(held.session);
    }
}

void target_holder::scheduler_unreachable(std::string_view scheduler, core::time_ms now) {
    lost_schedulers_.emplace(scheduler);
    for (auto& [id, held] : sessions_) {
        held.session.stop_all_of(scheduler, std::numeric_limits<std::uint64_t>::max(), now);
        collect_effects(held.session);
    }
    if (const auto found = schedulers_.find(scheduler); found != schedulers_.end()) {
        schedulers_.erase(found);
    }
}

void target_holder::stop_submission_of(std::string_view front_end, const stop_submission& message,
                                       core::time_ms now) {
    for (auto& [id, held] : sessions_) {
        held.session.stop_submission_of(front_end, message.number, now);
        collect_effects(held.session);
    }
}

void target_holder::front_end_unreachable(std::string_view front_end, core::time_ms now) {
    for (auto& [id, held] : sessions_) {
        held.session.stop_all_of_front_end(front_end, now);
        collect_effects(held.session);
    }
}

void target_holder::answered(const target_call& call, const call_answer& answer,
                             core::time_ms now) {
    const auto found = sessions_.find(call.target);
    // Each session has a token of its own, while its call numbers count from 1.
    if (found != sessions_.end() && found->second.session.token() == call.fencing_token) {
        found->second.session.answered(call.number, answer, now);
        collect_effects(found->second.session);
    }
}

void target_holder::tick(const discovery::target_directory& directory, const host_membership& hosts,
                         core::time_ms now, core::time_ms wall) {
    release_targets(directory, hosts, now, wall);
    claim_targets(directory, hosts, now, wall);
    for (auto& [id, held] : sessions_) {
        held.session.tick(now);
        collect_effects(held.session);
    }
    if (now < report_due_) {
        return;
    }
    report_due_ = now + detail::report_interval;
    std::erase_if(schedulers_,
                  [&](const auto& item) { return now - item.second > detail::scheduler_expiry; });
    std::erase_if(early_stops_, [&](const auto& item) {
        return now - item.second > detail::early_stop_retention;
    });
    std::set<std::string> receivers;
    for (const auto& [name, last_start] : schedulers_) {
        receivers.insert(name);
    }
    if (auto chosen = hosts.scheduler()) {
        receivers.insert(std::move(*chosen));
    }
    for (const auto& receiver : receivers) {
        report_to(receiver, now);
    }
}

/// Whether this process has had time to learn which hosts are alive and what they hold. After a
/// restart of all hosts nobody holds a target, so every further wait is time without service.
bool target_holder::may_claim(const host_membership& hosts, core::time_ms now) {
    if (hosts.joins() != joins_seen_) {
        joins_seen_ = hosts.joins();
        last_join_at_ = now;
    }
    const bool has_settled = joins_seen_ > 0 && now - last_join_at_ >= detail::settling_time;
    return now >= first_claim_at_ || has_settled;
}

void target_holder::claim_targets(const discovery::target_directory& directory,
                                  const host_membership& hosts, core::time_ms now,
                                  core::time_ms wall) {
    if (!may_claim(hosts, now) || hosts.self().leaving) {
        return;
    }
    directory.for_each([&](const discovery::target_record& record) {
        const auto retry = retry_at_.find(record.id);
        const bool is_paused = retry != retry_at_.end() && now < retry->second;
        if (is_paused || hosts.held_elsewhere(record.id) || sessions_.contains(record.id) ||
            hosts.preferred_holder(record.id, record.zone) != hosts.self().host.name) {
            return;
        }
        const auto inserted = sessions_.emplace(
            record.id, held_session{.session = target_session{record, tokens_.next(record.id, wall),
                                                              bounds_, *front_ends_, now},
                                    .claimed_at = now});
        effects_.held_changed = true;
        collect_effects(inserted.first->second.session);
    });
}

/// Takes over what a held target announces.
void target_holder::follow_announcement(held_session& held, const discovery::target_record& record,
                                        core::time_ms now, core::time_ms wall) {
    if (held.session.is_restart(record)) {
        held.session.claim_restarted(record, tokens_.next(record.id, wall), now);
        held.claimed_at = now;
        collect_effects(held.session);
    } else {
        held.session.update(record);
    }
}

void target_holder::release_targets(const discovery::target_directory& directory,
                                    const host_membership& hosts, core::time_ms now,
                                    core::time_ms wall) {
    for (auto position = sessions_.begin(); position != sessions_.end();) {
        auto& [id, held] = *position;
        const auto* const record = directory.find(id);
        if (record != nullptr) {
            follow_announcement(held, *record, now, wall);
        }
        if (held.session.has_restarted()) {
            // Until it is claimed, the new process executes late calls to the earlier one.
            held.session.claim_unannounced(tokens_.next(id, wall), now);
            held.claimed_at = now;
        }
        held.released =
            hosts.self().leaving || record == nullptr ||
            hosts.preferred_holder(id, held.session.record().zone) != hosts.self().host.name;
        const bool is_unreachable = !held.session.is_claimed() && held.session.idle() &&
                                    now - held.claimed_at > detail::claim_timeout;
        if (held.session.is_fenced()) {
            tokens_.skip_ahead(id);
            retry_at_[id] = now + detail::fenced_retry_delay;
        } else if (is_unreachable) {
            retry_at_[id] = now + detail::unreachable_retry_delay;
        }
        if (held.session.is_fenced() || is_unreachable || (held.released && held.session.idle())) {
            position = sessions_.erase(position);
            effects_.held_changed = true;
        } else {
            ++position;
        }
    }
}

void target_holder::report_to(const std::string& scheduler, core::time_ms now) {
    target_report report;
    for (const auto& [id, held] : sessions_) {
        const auto& record = held.session.record();
        report.targets.push_back(
            {.id = id,
             .incarnation = record.incarnation,
             .service = record.service,
             .zone = record.zone,
             .labels = record.labels,
             .capacity = record.capacity,
             .used_by_others = held.session.used_by_others(scheduler),
             .usable = held.session.usable() && !held.released && !is_drained(record),
             .cold = record.cold_for > core::duration_ms{0}});
    }
    auto& last = reports_[scheduler];
    if (last.report != report || now - last.sent >= detail::report_repeat_interval) {
        last = {report, now};
        effects_.messages.push_back({scheduler, std::move(report)});
    }
}

void target_holder::collect_effects(target_session& session) {
    auto effects = session.take_effects();
    std::ranges::move(effects.calls, std::back_inserter(effects_.calls));
    for (auto& report : effects.reports) {
        effects_.messages.push_back({std::move(report.scheduler), report.ended});
    }
    for (auto& event : effects.events) {
        effects_.events.push_back({session.record().id, std::move(event)});
    }
}

holder_effects target_holder::take_effects() {
    return std::exchange(effects_, {});
}

const target_session* target_holder::find(std::string_view target) const {
    const auto found = sessions_.find(target);
    return found == sessions_.end() ? nullptr : &found->second.session;
}

std::vector<std::string> target_holder::held() const {
    std::vector<std::string> ids;
    for (const auto& [id, held] : sessions_) {
        ids.push_back(id);
    }
    return ids;
}

bool target_holder::idle() const {
    return std::ranges::all_of(sessions_,
                               [](const auto& item) { return item.second.session.idle(); });
}

} // namespace hawthornstall::runs
