#pragma once

/// Owner of one service in one zone: deduplicates, queues, records starts, dispatches, completes.

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
    failed,   ///< A definite failure reply.
    busy,     ///< The target refused it and proves that it did not run.
    not_sent, ///< The target could not be reached; it provably did not run.
    lost,     ///< Sent without a whole answer; it may have run.
};

/// Pure state machine: each input returns effects in the order in which they are to be carried out.
class shard {
public:
    /// Times of this process on both clocks.
    struct times {
        core::time_ms now{};
        core::time_ms wall{};
    };

    shard(const core::service_document& document, std::string_view zone,
          const journal::owner_identity& self, std::span<const std::string> replicas);

    /// Takes a newer version of the document.
    void apply(const core::service_document& document);

    /// Starts to take ownership; jobs that need the journal wait for it.
    [[nodiscard]] shard_effects take_ownership(times at);

    /// Stops taking new jobs and sends jobs back of which nothing has started.
    [[nodiscard]] shard_effects drain(times at);

    [[nodiscard]] shard_effects submit(core::job_request request, const reply_address& reply_to,
                                       times at);
    [[nodiscard]] shard_effects task_ended(std::uint64_t run, task_result result,
                                           std::string_view body, times at);
    [[nodiscard]] shard_effects journal_message(const journal::replica_message& message, times at);
    [[nodiscard]] shard_effects set_target(const core::target_announcement& target, bool available,
                                           times at);
    [[nodiscard]] shard_effects remove_target(std::string_view name, times at);

    /// Timers; to be called no later than next_call().
    [[nodiscard]] shard_effects tick(times at);

    [[nodiscard]] core::time_ms next_call() const noexcept { return next_call_; }
    [[nodiscard]] const journal::owner_log& log() const noexcept { return log_; }
    [[nodiscard]] bool is_serving() const noexcept { return log_.is_serving() && !draining_; }
    [[nodiscard]] bool is_idle() const noexcept { return jobs_.empty() && runs_.empty(); }
    [[nodiscard]] std::uint64_t queued_tasks() const { return scheduler_->queued_tasks(); }
    [[nodiscard]] std::size_t running_tasks() const noexcept { return runs_.size(); }
    [[nodiscard]] std::size_t ejected_targets() const { return scheduler_->ejected_targets(); }

private:
    struct running_task {
        scheduling::attempt_id attempt;
        scheduling::job_id job{};
        std::uint32_t task = 0;
        std::string target;
        std::uint32_t recorded_attempt = 0; ///< Number in the journal; 0 without a record.
    };
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
    [[nodiscard]] running_task make_run(const scheduling::start_decision& start,
                                        const start_permit& permit) const;
    void record_starts(const start_batch& batch, times at);
    void cancel_unsent(std::uint64_t run, scheduling::not_sent_cause cause, times at);
    void send_when_committed(std::uint64_t run, std::uint64_t sequence, times at);
    void send_committed(std::uint64_t committed, times at);
    void send(std::uint64_t run, times at);
    void record_repeatable_end(const open_job& job, const running_task& ended, times at);
    void end_jobs(std::span<const scheduling::end_decision> ends, times at);
    void record_ends(std::span<const journal::job_records> records,
                     std::span<const std::uint64_t> numbers, times at);
    void end_unconfirmed(std::uint64_t number);
    void answer_committed(std::uint64_t committed);
    void expire_held(times at);

    void carry_out(journal::owner_effects effects, times at);
    void step_down(times at);
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
    bool scheduler_outdated_ = false; ///< The document asks for another scheduler.
    std::unordered_map<std::uint64_t, running_task> runs_;
    pending_commits<std::uint64_t> unsent_runs_;   ///< Until their start record is committed.
    pending_commits<std::uint64_t> unsent_ends_;   ///< Jobs, until their end is committed.
    pending_commits<held_answer> unsent_refusals_; ///< Until ownership is confirmed.
    std::map<std::string, core::target_announcement, std::less<>> targets_;
    admission_stage admission_;
    core::time_ms next_tick_{};
    core::time_ms next_call_{};
    shard_effects effects_;
};

} // namespace hawthornstall::entry
