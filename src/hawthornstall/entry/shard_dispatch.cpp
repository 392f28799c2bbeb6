/// Members of shard that carry out the scheduler's decisions: start records, sending, ends.

#include "hawthornstall/entry/shard.hpp"

#include <algorithm>
#include <utility>

namespace hawthornstall::entry {
namespace detail {

/// Bound on an answer that the journal keeps for resubmissions.
constexpr std::size_t max_kept_answer_bytes = std::size_t{1024} * 1024;

std::uint64_t run_number(scheduling::attempt_id attempt) {
    constexpr unsigned slot_bits = 32;
    return (std::uint64_t{attempt.generation} << slot_bits) | attempt.slot;
}

bool is_repeatable(task_result result, const core::job_request& request,
                   const core::retry_rules& retry) {
    const bool not_run = result == task_result::busy || result == task_result::not_sent;
    const bool may_repeat = request.idempotent && retry.retry_failed_starts;
    return not_run || (result == task_result::failed && may_repeat);
}

} // namespace detail

shard_effects shard::task_ended(std::uint64_t run, task_result result, std::string_view body,
                                times at) {
    const auto found = runs_.find(run);
    if (found == runs_.end()) {
        return {};
    }
    const auto ended = found->second;
    runs_.erase(found);
    auto* const job = find_job(ended.job);
    if (job != nullptr && !job->end && result == task_result::answered) {
        job->results[ended.task] = body;
    }
    if (job != nullptr && !job->end && ended.recorded_attempt != 0 &&
        detail::is_repeatable(result, job->request, document_.retry)) {
        record_repeatable_end(*job, ended, at);
    }
    using scheduling::attempt_result;
    switch (result) {
    case task_result::answered:
        scheduler_->finished(ended.attempt, attempt_result::answered, at.now);
        break;
    case task_result::failed:
        scheduler_->finished(ended.attempt, attempt_result::failed, at.now);
        break;
    case task_result::busy:
        scheduler_->finished(ended.attempt, attempt_result::not_run, at.now);
        break;
    case task_result::not_sent:
        scheduler_->not_sent(ended.attempt, scheduling::not_sent_cause::target, at.now);
        break;
    case task_result::lost:
        scheduler_->finished(ended.attempt, attempt_result::lost, at.now);
        break;
    }
    run_decisions(at);
    return take_effects(at);
}

void shard::record_repeatable_end(const open_job& job, const running_task& ended, times at) {
    // Without this record the next attempt of the task would be refused by the journal.
    journal::job_records records;
    records.submission = *job.submission;
    records.ends.push_back({.task = ended.task,
                            .attempt = ended.recorded_attempt,
                            .outcome = core::outcome_class::failed,
                            .retry_allowed = true});
    take_journal_effects(log_.append(records, at.now).effects, at);
}

void shard::run_decisions(times at) {
    scheduler_->decide(at.now, decisions_);
    const auto decided = std::exchange(decisions_, {});
    decisions_.next_call = decided.next_call;
    for (const auto& stop : decided.stops) {
        // A sent attempt runs to its end: targets offer no way to stop a task.
        const auto run = detail::run_number(stop.attempt);
        const bool unsent = std::ranges::any_of(runs_by_append_, [&](const auto& entry) {
            return std::ranges::find(entry.second, run) != entry.second.end();
        });
        if (unsent) {
            runs_.erase(run);
            scheduler_->not_sent(stop.attempt, scheduling::not_sent_cause::stopped, at.now);
        }
    }
    start_tasks(decided.starts, at);
    for (const auto& end : decided.ends) {
        end_job(end, at);
    }
}

void shard::start_tasks(std::span<const scheduling::start_decision> starts, times at) {
    while (!starts.empty()) {
        const auto job_number = starts.front().job;
        const auto* const next = std::ranges::find_if(starts, [&](const auto& start) {
                                     return start.job != job_number;
                                 }).base();
        const auto count = static_cast<std::size_t>(next - starts.data());
        auto* const job = find_job(job_number);
        if (job == nullptr) {
            for (const auto& start : starts.first(count)) {
                scheduler_->not_sent(start.attempt, scheduling::not_sent_cause::stopped, at.now);
            }
        } else {
            record_starts(*job, starts.first(count), at);
        }
        starts = starts.subspan(count);
    }
}

void shard::record_starts(open_job& job, std::span<const scheduling::start_decision> starts,
                          times at) {
    job.started = true;
    journal::job_records records;
    std::vector<std::uint64_t> runs;
    for (const auto& start : starts) {
        running_task running{.attempt = start.attempt,
                             .job = start.job,
                             .task = start.task,
                             .target = std::string{scheduler_->target_name(start.target)}};
        if (job.submission) {
            const auto attempt = job.registered ? table_.next_attempt(*job.submission, start.task)
                                                : std::optional<std::uint32_t>{1};
            if (!attempt) {
                scheduler_->not_sent(start.attempt, scheduling::not_sent_cause::journal, at.now);
                continue;
            }
            running.recorded_attempt = *attempt;
            records.starts.push_back({.task = start.task, .attempt = *attempt});
        }
        const auto run = detail::run_number(start.attempt);
        runs_.insert_or_assign(run, running);
        runs.push_back(run);
    }
    if (!job.submission) {
        std::ranges::for_each(runs, [&](std::uint64_t run) { send(run, at); });
        return;
    }
    if (runs.empty()) {
        return;
    }
    records.submission = *job.submission;
    if (!std::exchange(job.registered, true)) {
        records.registration = {.digest = job.digest,
                                .task_count = static_cast<std::uint32_t>(job.request.tasks.size())};
    }
    auto result = log_.append(records, at.now);
    if (result.sequence == 0) {
        for (const auto run : runs) {
            const auto attempt = runs_.at(run).attempt;
            runs_.erase(run);
            scheduler_->not_sent(attempt, scheduling::not_sent_cause::journal, at.now);
        }
    } else {
        runs_by_append_.emplace(result.sequence, std::move(runs));
    }
    take_journal_effects(std::move(result.effects), at);
}

void shard::send_committed(std::uint64_t committed, times at) {
    while (!runs_by_append_.empty() && runs_by_append_.begin()->first <= committed) {
        const auto runs = std::move(runs_by_append_.begin()->second);
        runs_by_append_.erase(runs_by_append_.begin());
        std::ranges::for_each(runs, [&](std::uint64_t run) { send(run, at); });
    }
}

void shard::send(std::uint64_t run, times at) {
    const auto found = runs_.find(run);
    if (found == runs_.end()) {
        return; // Stopped while its start record was on the way.
    }
    const auto& running = found->second;
    const auto& job = jobs_.at(static_cast<std::uint64_t>(running.job));
    effects_.emplace_back(run_task{.run = run,
                                   .target = running.target,
                                   .task_id = job.id_text + '/' + std::to_string(running.task),
                                   .attempt = std::max<std::uint32_t>(running.recorded_attempt, 1),
                                   .idempotent = job.request.idempotent,
                                   .timeout = std::max(job.deadline - at.now, core::duration_ms{1}),
                                   .payload = job.request.tasks[running.task].payload});
    scheduler_->sent(running.attempt, at.now);
}

void shard::end_job(const scheduling::end_decision& end, times at) {
    auto* const job = find_job(end.job);
    if (job == nullptr || job->end) {
        return;
    }
    const bool answered = end.outcome == core::outcome_class::answered;
    job->end = core::job_answer{.id = job->request.id,
                                .outcome = end.outcome,
                                .reason = std::string{scheduling::to_string(end.reason)},
                                .retry_after = end.retry_after,
                                .results = answered ? std::move(job->results)
                                                    : std::vector<std::string>{}};
    finish(static_cast<std::uint64_t>(end.job), *job, at);
}

void shard::finish(std::uint64_t number, open_job& job, times at) {
    if (!job.submission) {
        reply(job.waiters, *job.end);
        close(number);
        return;
    }
    journal::append_result result;
    if (job.registered) {
        journal::job_records records;
        records.submission = *job.submission;
        records.end = journal::make_job_end(*job.end, detail::max_kept_answer_bytes);
        if (records.end->outcome == core::outcome_class::refused_not_run) {
            // Starts are recorded although none was sent, so the identifier can't be released.
            records.end->outcome = core::outcome_class::failed;
        }
        result = log_.append(records, at.now);
    } else {
        result = log_.confirm_ownership(at.now);
    }
    if (result.sequence == 0) {
        end_unconfirmed(number, job, at);
        return;
    }
    // Callers hear of the end once a quorum holds it, so that a resubmission gets the same one.
    ends_by_append_.emplace(result.sequence, number);
    take_journal_effects(std::move(result.effects), at);
}

void shard::close(std::uint64_t number) {
    const auto found = jobs_.find(number);
    if (found != jobs_.end()) {
        if (found->second.submission) {
            by_submission_.erase(*found->second.submission);
        }
        jobs_.erase(found);
    }
}

void shard::release_committed(std::uint64_t committed) {
    while (!ends_by_append_.empty() && ends_by_append_.begin()->first <= committed) {
        const auto number = ends_by_append_.begin()->second;
        ends_by_append_.erase(ends_by_append_.begin());
        if (const auto found = jobs_.find(number); found != jobs_.end()) {
            reply(found->second.waiters, *found->second.end);
            close(number);
        }
    }
    while (!held_by_append_.empty() && held_by_append_.begin()->first <= committed) {
        const auto& held = held_by_append_.begin()->second;
        reply({&held.reply_to, 1}, held.answer);
        held_by_append_.erase(held_by_append_.begin());
    }
}

} // namespace hawthornstall::entry
