/// Members of shard that react to the journal: ownership is gained, confirmed or lost, and waits
/// for a commit time out.

#include "hawthornstall/core/overloaded.hpp"
#include "hawthornstall/entry/job_answers.hpp"
#include "hawthornstall/entry/shard.hpp"

#include <algorithm>
#include <utility>
#include <variant>

namespace hawthornstall::entry {

void shard::carry_out(journal::owner_effects effects, times at) {
    for (auto& effect : effects) {
        std::visit(core::overloaded{
                       [&](journal::send_to_replica& send) {
                           effects_.emplace_back(
                               send_journal_message{send.replica, std::move(send.message)});
                       },
                       [&](const journal::appends_committed& commit) {
                           send_committed(commit.sequence, at);
                           answer_committed(commit.sequence);
                       },
                       [&](const journal::serving_started& /*started*/) {
                           effects_.emplace_back(ownership_changed{});
                           admit_waiting(at);
                       },
                       [&](const journal::stepped_down& /*down*/) { step_down(at); },
                       [&](const journal::quorum_changed& /*changed*/) {
                           effects_.emplace_back(ownership_changed{});
                       },
                   },
                   effect);
    }
}

void shard::step_down(times at) {
    effects_.emplace_back(ownership_changed{});
    for (const auto& waiting : admission_.take_all()) {
        effects_.emplace_back(send_redirect{waiting.reply_to});
    }
    for (const auto& held : unconfirmed_refusals_.take_all()) {
        effects_.emplace_back(send_redirect{held.reply_to});
    }
    const auto submissions =
        jobs_.where([](const open_job& job) { return job.submission.has_value(); });
    for (const auto number : submissions) {
        end_unconfirmed(number);
    }
    (void)uncommitted_ends_.take_all();
    // The start records of these runs may never reach a quorum, so none of the runs is sent.
    for (const auto run : uncommitted_starts_.take_all()) {
        cancel_unsent(run, scheduling::not_sent_cause::stopped, at);
    }
}

void shard::end_unconfirmed(std::uint64_t number) {
    const auto& job = jobs_.at(number);
    const bool is_whole = job.end && job.end->outcome == core::outcome_class::answered;
    if (!is_whole && !job.registered) {
        redirect_job(number);
        return;
    }
    reply(job.waiters, is_whole ? *job.end : make_interrupted_answer(job));
    jobs_.erase(number);
    scheduler_->cancel(scheduling::job_id{number});
}

void shard::redirect_job(std::uint64_t number) {
    for (const auto& waiter : jobs_.at(number).waiters) {
        effects_.emplace_back(send_redirect{waiter});
    }
    jobs_.erase(number);
    scheduler_->cancel(scheduling::job_id{number});
}

void shard::expire_held(times at) {
    // The quorum did not confirm before the deadline. A complete answer stays valid, but without
    // the commit it is not certain that a refused job has not run.
    const auto overdue = uncommitted_ends_.take_if([&](std::uint64_t number) {
        const auto* const job = jobs_.find(number);
        return job != nullptr && job->deadline <= at.now;
    });
    for (const auto number : overdue) {
        auto& job = jobs_.at(number);
        if (job.end->outcome == core::outcome_class::refused_not_run) {
            job.end->outcome = core::outcome_class::may_have_run;
            job.end->reason += "; the journal could not confirm that nothing ran";
        }
        reply(job.waiters, *job.end);
        jobs_.erase(number);
    }
    const auto unconfirmed = unconfirmed_refusals_.take_if(
        [&](const held_answer& held) { return held.deadline <= at.now; });
    for (const auto& held : unconfirmed) {
        auto answer = held.answer;
        answer.outcome = core::outcome_class::may_have_run;
        reply({&held.reply_to, 1}, answer);
    }
}

} // namespace hawthornstall::entry
