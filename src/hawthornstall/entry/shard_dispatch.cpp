/// Members of shard that carry out the scheduler's decisions: they record and send task starts, and
/// record and answer the ends of jobs.

#include "hawthornstall/entry/job_answers.hpp"
#include "hawthornstall/entry/shard.hpp"

#include <algorithm>
#include <utility>

namespace hawthornstall::entry {
namespace detail {

/// Largest answer that the journal keeps for resubmissions.
constexpr std::size_t max_kept_answer_bytes = std::size_t{1024} * 1024;

/// Number of a run: the attempt's generation in the high half, its slot in the low half.
std::uint64_t run_number(scheduling::attempt_id attempt) {
    constexpr unsigned slot_bits = 32;
    return (std::uint64_t{attempt.generation} << slot_bits) | attempt.slot;
}

/// Whether the task may be attempted again after `result`: it did not run, or it failed and both
/// the job and the service allow a retry.
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
    auto* const job = jobs_.find(static_cast<std::uint64_t>(ended.job));
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
        scheduler_->not_sent(ended.attempt, scheduling::not_sent_cause::target_unreachable, at.now);
        break;
    case task_result::lost:
        scheduler_->finished(ended.attempt, attempt_result::lost, at.now);
        break;
    }
    run_decisions(at);
    return take_effects(at);
}

void shard::record_repeatable_end(const open_job& job, const run_state& ended, times at) {
    // The submission table permits another attempt only after a recorded end that allows a retry.
    journal::job_records records;
    records.submission = *job.submission;
    records.ends.push_back({.task = ended.task,
                            .attempt = ended.recorded_attempt,
                            .outcome = core::outcome_class::failed,
                            .retry_allowed = true});
    carry_out(log_.append(records, at.now).effects, at);
}

void shard::run_decisions(times at) {
    scheduler_->decide(at.now, decisions_);
    const auto decided = std::exchange(decisions_, {});
    decisions_.next_call = decided.next_call;
    for (const auto& stop : decided.stops) {
        // An attempt that was sent runs to its end: targets have no operation to stop a task.
        const auto run = detail::run_number(stop.attempt);
        if (uncommitted_starts_.contains(run)) {
            cancel_unsent(run, scheduling::not_sent_cause::stopped, at);
        }
    }
    start_tasks(decided.starts, at);
    end_jobs(decided.ends, at);
}

void shard::start_tasks(std::span<const scheduling::start_decision> starts, times at) {
    start_batch batch{table_};
    for (const auto& start : starts) {
        const auto number = static_cast<std::uint64_t>(start.job);
        const auto run = detail::run_number(start.attempt);
        auto* const job = jobs_.find(number);
        if (job == nullptr) {
            scheduler_->not_sent(start.attempt, scheduling::not_sent_cause::stopped, at.now);
            continue;
        }
        job->started = true;
        if (!job->submission) {
            runs_.insert_or_assign(run, make_run(start, {}));
            send(run, at);
            continue;
        }
        const auto permit = batch.add({.job = number, .task = start.task, .run = run}, *job);
        if (!permit) {
            scheduler_->not_sent(start.attempt, scheduling::not_sent_cause::journal_failed, at.now);
            continue;
        }
        runs_.insert_or_assign(run, make_run(start, *permit));
        if (permit->sequence) {
            send_when_committed(run, *permit->sequence, at);
        }
    }
    if (!batch.records().empty()) {
        record_starts(batch, at);
    }
}

shard::run_state shard::make_run(const scheduling::start_decision& start,
                                 const start_permit& permit) const {
    return {.attempt = start.attempt,
            .job = start.job,
            .task = start.task,
            .target = std::string{scheduler_->target_name(start.target)},
            .recorded_attempt = permit.attempt};
}

void shard::send_when_committed(std::uint64_t run, std::uint64_t sequence, times at) {
    if (sequence <= log_.committed()) {
        send(run, at);
    } else {
        uncommitted_starts_.add(sequence, run);
    }
}

void shard::record_starts(const start_batch& batch, times at) {
    auto result = log_.append(batch.records(), at.now);
    if (result.sequence == 0) {
        batch.roll_back(jobs_);
        for (const auto run : batch.runs()) {
            cancel_unsent(run, scheduling::not_sent_cause::journal_failed, at);
        }
    } else {
        batch.set_sequence(jobs_, result.sequence);
        for (const auto run : batch.runs()) {
            uncommitted_starts_.add(result.sequence, run);
        }
    }
    carry_out(std::move(result.effects), at);
}

void shard::cancel_unsent(std::uint64_t run, scheduling::not_sent_cause cause, times at) {
    if (const auto found = runs_.find(run); found != runs_.end()) {
        const auto attempt = found->second.attempt;
        runs_.erase(found);
        scheduler_->not_sent(attempt, cause, at.now);
    }
}

void shard::send_committed(std::uint64_t committed, times at) {
    for (const auto run : uncommitted_starts_.take_committed(committed)) {
        send(run, at);
    }
}

void shard::send(std::uint64_t run, times at) {
    const auto found = runs_.find(run);
    if (found == runs_.end()) {
        return; // Stopped while its start record was uncommitted.
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

void shard::end_jobs(std::span<const scheduling::end_decision> ends, times at) {
    std::vector<journal::job_records> records;
    std::vector<std::uint64_t> numbers;
    for (const auto& end : ends) {
        auto* const job = jobs_.find(static_cast<std::uint64_t>(end.job));
        if (job == nullptr || job->end) {
            continue;
        }
        const auto number = static_cast<std::uint64_t>(end.job);
        job->end = make_decided_answer(*job, end);
        if (job->submission) {
            records.push_back(make_records(*job));
            records.back().end = journal::make_job_end(*job->end, detail::max_kept_answer_bytes);
            numbers.push_back(number);
        } else {
            reply(job->waiters, *job->end);
            jobs_.erase(number);
        }
    }
    if (!records.empty()) {
        record_ends(records, numbers, at);
    }
}

void shard::record_ends(std::span<const journal::job_records> records,
                        std::span<const std::uint64_t> numbers, times at) {
    auto result = log_.append(records, at.now);
    for (const auto number : numbers) {
        if (result.sequence == 0) {
            end_unconfirmed(number);
        } else {
            // Callers are answered only once a quorum holds the end. Otherwise a resubmission could
            // get another end, and a late copy of a refused job could still run.
            uncommitted_ends_.add(result.sequence, number);
        }
    }
    carry_out(std::move(result.effects), at);
}

void shard::answer_committed(std::uint64_t committed) {
    for (const auto number : uncommitted_ends_.take_committed(committed)) {
        if (const auto* const job = jobs_.find(number)) {
            reply(job->waiters, *job->end);
            jobs_.erase(number);
        }
    }
    for (const auto& held : unconfirmed_refusals_.take_committed(committed)) {
        reply({&held.reply_to, 1}, held.answer);
    }
}

} // namespace hawthornstall::entry
