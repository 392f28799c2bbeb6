#pragma once

/// State machine of the owner of one shard: deduplicates jobs, queues them, records task starts in
/// the journal, sends tasks to targets and answers callers.

#include "hawthornstall/core/outcome.hpp"
#include "hawthornstall/core/service_document.hpp"
#include "hawthornstall/core/target.hpp"
#include "hawthornstall/entry/admission_stage.hpp"
#include "hawthornstall/entry/deduplicate_stage.hpp"
#include "hawthornstall/entry/open_jobs.hpp"
#include "hawthornstall/entry/pending_commits.hpp"
#include "hawthornstall/entry/service_scheduler.hpp"
#include "hawthornstall/entry/shard_effects.hpp"
#include "hawthornstall/entry/start_batch.hpp"
#include "hawthornstall/journal/owner_log.hpp"
#include "hawthornstall/journal/submission_table.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace hawthornstall::entry {

/// How an attempt ended at its target.
enum class task_result : std::uint8_t {
    answered,
    failed,   ///< The target replied with a definite failure.
    busy,     ///< The target refused the task and guarantees that it did not run.
    not_sent, ///< The target could not be reached; the task did not run.
    lost,     ///< Sent, but no complete answer arrived; the task may have run.
};

/// One service in one zone, on one of the zone's entry hosts. Does no I/O and reads no clock: each
/// input returns the effects in the order in which the caller has to carry them out.
class shard {
public:
    /// Current time on both clocks of this process.
    struct times {
        core::time_ms now{};  ///< Monotonic.
        core::time_ms wall{}; ///< Wall clock, comparable between hosts up to their skew.
    };

    /// `replicas` are the names of the zone's journal replicas. The shard starts without ownership.
    shard(const core::service_document& document, std::string_view zone,
          const journal::owner_identity& self, std::span<const std::string> replicas);

    /// Applies a newer version of the service document. A change that needs another scheduler takes
    /// effect once no job and no run is open.
    void apply(const core::service_document& document);

    /// Starts to take ownership of the journal. Jobs that need the journal wait until it is owned.
    [[nodiscard]] shard_effects take_ownership(times at);

    /// Stops admitting jobs and redirects those of which no task has started; the others run to
    /// their end, after which tick() releases ownership.
    [[nodiscard]] shard_effects drain(times at);

    /// Takes a job that an entry host, possibly this one, has forwarded. A missing or excessive
    /// deadline is replaced by the default or the maximum of the document.
    [[nodiscard]] shard_effects submit(core::job_request request, const reply_address& reply_to,
                                       times at);
    /// Reports the end of the attempt that a run_task effect named `run`; `body` is the target's
    /// answer. An unknown run is ignored.
    [[nodiscard]] shard_effects task_ended(std::uint64_t run, task_result result,
                                           std::string_view body, times at);
    /// Takes a reply of a journal replica.
    [[nodiscard]] shard_effects journal_message(const journal::replica_message& message, times at);
    /// Adds a target of the service or updates it; an unavailable one gets no new tasks.
    [[nodiscard]] shard_effects set_target(const core::target_announcement& target, bool available,
                                           times at);
    /// Removes a target. Its running tasks are reported through task_ended() all the same.
    [[nodiscard]] shard_effects remove_target(std::string_view name, times at);

    /// Runs the timers that are due. Must be called no later than next_call().
    [[nodiscard]] shard_effects tick(times at);

    [[nodiscard]] core::time_ms next_call() const noexcept { return next_call_; }
    [[nodiscard]] const journal::owner_log& log() const noexcept { return log_; }
    /// Whether the shard owns its journal and is not draining.
    [[nodiscard]] bool admits_jobs() const noexcept { return log_.is_serving() && !draining_; }
    /// Whether no job is open and no task is running.
    [[nodiscard]] bool is_idle() const noexcept { return jobs_.empty() && runs_.empty(); }
    [[nodiscard]] std::uint64_t queued_tasks() const { return scheduler_->queued_tasks(); }
    /// Number of attempts between the decision to start them and their end.
    [[nodiscard]] std::size_t open_runs() const noexcept { return runs_.size(); }
    [[nodiscard]] std::size_t ejected_targets() const { return scheduler_->ejected_targets(); }

private:
    /// A run: one attempt of a task, from the scheduler's decision to start it to its end. It may
    /// not have been sent yet.
    struct run_state {
        scheduling::attempt_id attempt;
        scheduling::job_id job{};
        std::uint32_t task = 0;
        std::string target;
        std::uint32_t recorded_attempt = 0; ///< Attempt number in the journal; 0 without a record.
    };
    /// A target as last passed to set_target().
    struct known_target {
        core::target_capacity capacity;
        bool available = false;
    };
    /// A refusal that waits for the journal to confirm ownership.
    struct held_answer {
        reply_address reply_to;
        core::job_answer answer;
        core::time_ms deadline{};
    };

    void admit(arrived_job job, times at);
    [[nodiscard]] owner_state state() const;
    void enqueue(new_job admitted, times at);
    void answer_recorded(held_answer held, times at);
    void refuse_when_confirmed(held_answer held, times at);
    void admit_waiting(times at);
    void expire_waiting(times at);

    void run_decisions(times at);
    void start_tasks(std::span<const scheduling::start_decision> starts, times at);
    [[nodiscard]] run_state make_run(const scheduling::start_decision& start,
                                     const start_permit& permit) const;
    void record_starts(const start_batch& batch, times at);
    /// Drops a run that was not sent and reports `cause` to the scheduler.
    void cancel_unsent(std::uint64_t run, scheduling::not_sent_cause cause, times at);
    void send_when_committed(std::uint64_t run, std::uint64_t sequence, times at);
    void send_committed(std::uint64_t committed, times at);
    void send(std::uint64_t run, times at);
    void record_repeatable_end(const open_job& job, const run_state& ended, times at);
    void end_jobs(std::span<const scheduling::end_decision> ends, times at);
    void record_ends(std::span<const journal::job_records> records,
                     std::span<const std::uint64_t> numbers, times at);
    /// Ends a job whose records may never be committed: with its complete answer if there is one,
    /// as may_have_run if starts were recorded, and otherwise by a redirect.
    void end_unconfirmed(std::uint64_t number);
    /// Answers the callers whose job end or refusal is committed by now.
    void answer_committed(std::uint64_t committed);
    /// Answers the callers whose deadline passes before the journal commits or confirms.
    void expire_held(times at);

    void carry_out(journal::owner_effects effects, times at);
    void step_down(times at);
    /// Drops a job without started tasks and redirects all of its callers.
    void redirect_job(std::uint64_t number);
    void replace_scheduler_when_idle(times at);
    void reply(std::span<const reply_address> waiters, const core::job_answer& answer);
    [[nodiscard]] shard_effects take_effects(times at);

    core::service_document document_;
    journal::owner_log log_;
    journal::submission_table table_;
    open_jobs jobs_;
    deduplicate_stage deduplicate_;
    std::unique_ptr<service_scheduler> scheduler_;
    scheduling::decisions decisions_;
    bool draining_ = false;
    bool scheduler_outdated_ = false; ///< The document needs another scheduler than the current.
    std::unordered_map<std::uint64_t, run_state> runs_;
    pending_commits<std::uint64_t> uncommitted_starts_; ///< Runs whose start record is uncommitted.
    pending_commits<std::uint64_t> uncommitted_ends_;   ///< Jobs whose end record is uncommitted.
    pending_commits<held_answer> unconfirmed_refusals_; ///< Refusals until ownership is confirmed.
    std::map<std::string, known_target, std::less<>> targets_;
    admission_stage admission_;
    core::time_ms next_tick_{};
    core::time_ms next_call_{};
    shard_effects effects_;
};

} // namespace hawthornstall::entry
