#include "hawthornstall/entry/shard.hpp"

#include "hawthornstall/core/overloaded.hpp"
#include "hawthornstall/entry/job_answers.hpp"

#include <algorithm>
#include <utility>
#include <variant>

namespace hawthornstall::entry {
namespace detail {

/// Interval of the journal's timers, equal to journal::owner_settings::resend_after.
constexpr core::duration_ms journal_tick_interval{100};

} // namespace detail

shard::shard(const core::service_document& document, std::string_view zone,
             const journal::owner_identity& self, std::span<const std::string> replicas)
    : document_(document),
      log_({.service = document.service, .zone = std::string{zone}}, self, replicas),
      table_(log_, {}),
      deduplicate_(jobs_, table_, self.host + '/' + std::to_string(self.incarnation) + '/'),
      scheduler_(std::make_unique<service_scheduler>(document)) {}

void shard::apply(const core::service_document& document) {
    scheduler_outdated_ =
        scheduler_outdated_ || service_scheduler::needs_replacement(document_, document);
    document_ = document;
    scheduler_->apply(document);
}

shard_effects shard::take_ownership(times at) {
    draining_ = false;
    carry_out(log_.take_ownership(at.now), at);
    return take_effects(at);
}

shard_effects shard::drain(times at) {
    draining_ = true;
    for (const auto& waiting : admission_.take_all()) {
        effects_.emplace_back(send_redirect{waiting.reply_to});
    }
    const auto unstarted =
        jobs_.where([](const open_job& job) { return !job.started && !job.end; });
    for (const auto number : unstarted) {
        redirect_job(number);
    }
    effects_.emplace_back(ownership_changed{});
    return take_effects(at);
}

shard_effects shard::submit(core::job_request request, const reply_address& reply_to, times at) {
    const auto requested =
        request.deadline.count() > 0 ? request.deadline : document_.terms.default_deadline;
    const auto deadline = at.now + std::min(requested, document_.terms.max_deadline);
    admit({std::move(request), reply_to, deadline}, at);
    run_decisions(at);
    return take_effects(at);
}

owner_state shard::state() const {
    return {.is_draining = draining_,
            .journal_is_idle = log_.phase() == journal::owner_phase::idle,
            .is_serving = log_.is_serving(),
            .scheduler_is_outdated = scheduler_outdated_};
}

void shard::admit(arrived_job arrived, times at) {
    const auto& id = arrived.request.id;
    const bool is_open = id && jobs_.number_of(journal::key_of(*id));
    switch (admission_.decide(arrived.request, is_open, state())) {
    case admission_decision::redirect:
        effects_.emplace_back(send_redirect{arrived.reply_to});
        return;
    case admission_decision::wait:
        admission_.add(std::move(arrived));
        return;
    case admission_decision::admit:
        break;
    }
    const auto reply_to = arrived.reply_to;
    const auto deadline = arrived.deadline;
    auto result = deduplicate_(std::move(arrived), at.wall);
    std::visit(
        core::overloaded{
            [&](const joined_job& joined) { jobs_.at(joined.number).waiters.push_back(reply_to); },
            [&](recorded_job& recorded) {
                answer_recorded({reply_to, std::move(recorded.answer), deadline}, at);
            },
            [&](new_job& admitted) { enqueue(std::move(admitted), at); },
        },
        result);
}

void shard::enqueue(new_job admitted, times at) {
    if (admitted.was_registered) {
        // Registering the job under this epoch lets the submission table continue the attempt
        // numbers that an earlier owner has used.
        carry_out(log_.append(make_records(admitted.job), at.now).effects, at);
    }
    const auto number = jobs_.add(std::move(admitted.job));
    const auto& job = jobs_.at(number);
    std::vector<core::duration_ms> run_times(job.request.tasks.size());
    std::ranges::transform(job.request.tasks, run_times.begin(),
                           &core::task_request::declared_run_time);
    scheduler_->submit(scheduling::job_id{number},
                       {.team = job.request.caller,
                        .idempotent = job.request.idempotent,
                        .single_request = !job.submission,
                        .deadline = job.deadline,
                        .declared_run_times = run_times},
                       at.now);
}

void shard::answer_recorded(held_answer held, times at) {
    if (held.answer.outcome == core::outcome_class::refused_not_run) {
        refuse_when_confirmed(std::move(held), at);
    } else {
        reply({&held.reply_to, 1}, held.answer);
    }
}

void shard::refuse_when_confirmed(held_answer held, times at) {
    // An owner that was superseded without noticing could refuse a job as not run although the new
    // owner runs it, so the refusal waits until a quorum has confirmed ownership.
    auto confirmation = log_.confirm_ownership(at.now);
    unconfirmed_refusals_.add(confirmation.sequence, std::move(held));
    carry_out(std::move(confirmation.effects), at);
}

shard_effects shard::set_target(const core::target_announcement& target, bool available, times at) {
    targets_.insert_or_assign(target.name, known_target{target.capacity, available});
    scheduler_->set_target(target.name, target.capacity, available);
    run_decisions(at);
    return take_effects(at);
}

shard_effects shard::remove_target(std::string_view name, times at) {
    if (const auto found = targets_.find(name); found != targets_.end()) {
        targets_.erase(found);
        scheduler_->remove_target(name);
    }
    run_decisions(at);
    return take_effects(at);
}

shard_effects shard::journal_message(const journal::replica_message& message, times at) {
    carry_out(log_.handle(message, at.now, at.wall), at);
    run_decisions(at);
    return take_effects(at);
}

shard_effects shard::tick(times at) {
    if (at.now >= next_tick_) {
        next_tick_ = at.now + detail::journal_tick_interval;
        if (log_.is_serving()) {
            log_.forget_before(table_.expiry_bound(at.wall));
        }
        carry_out(log_.tick(at.now, at.wall), at);
        expire_waiting(at);
        expire_held(at);
    }
    replace_scheduler_when_idle(at);
    run_decisions(at);
    if (draining_ && is_idle() && log_.is_serving()) {
        log_.release();
        effects_.emplace_back(ownership_changed{});
    }
    return take_effects(at);
}

void shard::admit_waiting(times at) {
    for (auto& waiting : admission_.take_all()) {
        admit(std::move(waiting), at);
    }
}

void shard::expire_waiting(times at) {
    for (const auto& expired : admission_.take_expired(at.now)) {
        reply({&expired.reply_to, 1}, make_no_quorum_answer(expired.request));
    }
}

void shard::replace_scheduler_when_idle(times at) {
    if (!scheduler_outdated_ || !is_idle()) {
        return;
    }
    scheduler_outdated_ = false;
    scheduler_ = std::make_unique<service_scheduler>(document_);
    for (const auto& [name, target] : targets_) {
        scheduler_->set_target(name, target.capacity, target.available);
    }
    admit_waiting(at);
}

void shard::reply(std::span<const reply_address> waiters, const core::job_answer& answer) {
    for (const auto& waiter : waiters) {
        effects_.emplace_back(send_answer{waiter, answer});
    }
}

shard_effects shard::take_effects(times at) {
    next_call_ = std::min(next_tick_, decisions_.next_call.value_or(next_tick_));
    next_call_ = std::max(next_call_, at.now + core::duration_ms{1});
    return std::exchange(effects_, {});
}

} // namespace hawthornstall::entry
