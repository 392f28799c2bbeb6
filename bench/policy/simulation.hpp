#pragma once

/// A discrete-event simulation of one policy on one workload. The policy is the real code; the
/// entry host, the journal and the targets around it are simulated.

#include "policy/dispatch_policy.hpp"
#include "policy/event_queue.hpp"
#include "policy/run_record.hpp"
#include "policy/simulated_target.hpp"

#include <set>
#include <string>
#include <unordered_map>

namespace hawthornstall::policy_bench {

/// Runs `Policy` as its dispatcher would, on a virtual clock, and records what happens.
template <dispatch_policy Policy> class simulation {
public:
    simulation(const workload& plan, Policy& policy, environment_options environment)
        : plan_(plan), policy_(policy), environment_(environment), record_(plan),
          recorded_(plan.jobs.size()) {
        for (std::size_t index = 0; index < plan.targets.size(); ++index) {
            const auto slots = plan.targets[index].slots;
            targets_.emplace_back(plan.targets[index], environment.queues_at_target);
            const auto number = policy_.set_target(
                target_name(index), {.slots = slots, .cores = slots, .memory_mb = 250'000}, true);
            target_index_by_id_.emplace(static_cast<std::uint32_t>(number), index);
        }
    }

    [[nodiscard]] run_result run() {
        const auto hop = environment_.has_owner ? hop_us : 0;
        for (std::uint32_t index = 0; index < plan_.jobs.size(); ++index) {
            events_.push(plan_.jobs[index].arrival + hop, event_kind::job_arrives, index);
        }
        if (!plan_.parameters.faults.empty()) {
            events_.push(plan_.fault_time, event_kind::fault_begins);
        }
        while (!events_.empty()) {
            const auto next = events_.pop();
            now_ = next.at;
            handle(next);
        }
        return record_.result();
    }

private:
    /// Where an attempt is; `waiting` means queued at its target.
    enum class attempt_phase : std::uint8_t { in_journal, sent, waiting, running, ended };

    struct attempt {
        scheduling::attempt_id id;
        std::uint32_t job = 0;
        std::uint32_t task = 0;
        std::size_t target = 0;
        attempt_phase state = attempt_phase::in_journal;
        bool stopped = false;
        bool reported = false;         ///< The policy has been told the result.
        double journal_messages = 0.0; ///< Its share of the messages of an append.
        scheduling::attempt_result result = scheduling::attempt_result::lost;
    };

    /// An append is sent to two other replicas and acknowledged by each.
    static constexpr double messages_per_append = 4.0;
    static constexpr virtual_us journal_round_trip_us = 2 * hop_us;
    /// Delay after which a failing target replies.
    static constexpr virtual_us failure_reply_us = 1 * us_per_ms;
    /// Time after which a silent connection to a target is closed (section 11 of the design page).
    static constexpr virtual_us loss_detection_us = 1'500 * us_per_ms;

    static std::string target_name(std::size_t index) { return "target-" + std::to_string(index); }

    [[nodiscard]] core::time_ms clock() const { return core::from_count(now_ / us_per_ms); }

    void handle(const event& next) {
        switch (next.kind) {
        case event_kind::job_arrives:
            submit(next.index);
            break;
        case event_kind::journal_acks:
            finish_append();
            break;
        case event_kind::task_arrives:
            receive(next.attempt);
            return;
        case event_kind::task_ends:
            end_task(next.attempt);
            return;
        case event_kind::reply_arrives:
            report(next.attempt, attempts_[next.attempt].result);
            break;
        case event_kind::stop_arrives:
            stop_at_target(next.attempt);
            return;
        case event_kind::timer:
            timer_.reset();
            break;
        case event_kind::fault_begins:
            begin_fault();
            break;
        case event_kind::loss_detected:
            remove_lost_targets();
            break;
        }
        decide();
    }

    void submit(std::uint32_t index) {
        const auto& job = plan_.jobs[index];
        // The request from the entry host to the owner, and the answer back.
        record_.count_messages(environment_.has_owner ? 2.0 : 0.0);
        const auto team = "team-" + std::to_string(job.team);
        const auto deadline = core::from_count(job.arrival / us_per_ms) + plan_.deadline;
        policy_.submit(static_cast<scheduling::job_id>(index),
                       {.team = team,
                        .idempotent = job.idempotent,
                        .single_request = job.single,
                        .deadline = deadline,
                        .declared_run_times = job.declared},
                       clock());
    }

    void decide() {
        policy_.decide(clock(), decisions_);
        for (const auto& end : decisions_.ends) {
            end_job(end);
        }
        for (const auto& start : decisions_.starts) {
            begin_attempt(start);
        }
        stop_attempts();
        append();
        if (decisions_.next_call) {
            // At least one clock tick ahead, so that the virtual clock always advances.
            const auto at =
                std::max(core::to_count(*decisions_.next_call), core::to_count(clock()) + 1) *
                us_per_ms;
            if (!timer_ || at < *timer_) {
                timer_ = at;
                events_.push(at, event_kind::timer);
            }
        }
    }

    void end_job(const scheduling::end_decision& end) {
        const auto index = static_cast<std::uint32_t>(end.job);
        const bool has_owner = environment_.has_owner;
        record_.on_end(index, end, has_owner ? 2.0 : 0.0, now_ + (has_owner ? hop_us : 0));
    }

    /// Sends an attempt, or queues its start record for an append if it needs one.
    void begin_attempt(const scheduling::start_decision& start) {
        const auto serial = attempts_.size();
        const auto index = static_cast<std::uint32_t>(start.job);
        attempts_.push_back(
            {.id = start.attempt,
             .job = index,
             .task = start.task,
             .target = target_index_by_id_.at(static_cast<std::uint32_t>(start.target))});
        serial_by_slot_.insert_or_assign(start.attempt.slot, serial);
        const auto waiting = waiting_for_record_.find(index);
        const bool needs_record = environment_.has_owner && !plan_.jobs[index].single &&
                                  (start.attempt_number > 1 || !recorded_[index]);
        if (waiting != waiting_for_record_.end()) {
            waiting->second.push_back(serial);
        } else if (!needs_record) {
            send(serial);
        } else {
            // One start record covers the first attempts of all tasks of a job.
            if (!recorded_[index]) {
                recorded_[index] = true;
                waiting_for_record_[index];
            }
            next_append_.push_back(serial);
        }
    }

    /// Starts an append if none is in flight. Start records that arrive meanwhile share the next
    /// one.
    void append() {
        if (append_in_flight_ || next_append_.empty()) {
            return;
        }
        record_.count_messages(messages_per_append);
        for (const auto serial : next_append_) {
            attempts_[serial].journal_messages =
                messages_per_append / static_cast<double>(next_append_.size());
        }
        current_append_.swap(next_append_);
        next_append_.clear();
        append_in_flight_ = true;
        events_.push(now_ + journal_round_trip_us, event_kind::journal_acks);
    }

    /// Sends the attempts whose start records are acknowledged, and starts the next append.
    void finish_append() {
        append_in_flight_ = false;
        std::vector<std::uint64_t> acknowledged;
        for (const auto serial : current_append_) {
            acknowledged.push_back(serial);
            if (const auto waiting = waiting_for_record_.find(attempts_[serial].job);
                waiting != waiting_for_record_.end()) {
                acknowledged.insert(acknowledged.end(), waiting->second.begin(),
                                    waiting->second.end());
                waiting_for_record_.erase(waiting);
            }
        }
        current_append_.clear();
        for (const auto serial : acknowledged) {
            if (attempts_[serial].stopped) {
                attempts_[serial].state = attempt_phase::ended;
                policy_.not_sent(attempts_[serial].id, scheduling::not_sent_cause::stopped,
                                 clock());
            } else {
                send(serial);
            }
        }
    }

    void send(std::uint64_t serial) {
        auto& item = attempts_[serial];
        if (removed_.contains(item.target)) {
            item.state = attempt_phase::ended;
            policy_.not_sent(item.id, scheduling::not_sent_cause::target_unreachable, clock());
            return;
        }
        item.state = attempt_phase::sent;
        record_.count_messages(1.0);
        policy_.sent(item.id, clock());
        events_.push(now_ + hop_us, event_kind::task_arrives, 0, serial);
    }

    /// An attempt reaches its target.
    void receive(std::uint64_t serial) {
        auto& item = attempts_[serial];
        auto& target = targets_[item.target];
        if (item.stopped && !target.lost()) {
            reply(serial, scheduling::attempt_result::not_run, 0);
            return;
        }
        switch (target.receive(serial)) {
        case task_reception::runs:
            run_task(serial);
            break;
        case task_reception::queues:
            item.state = attempt_phase::waiting;
            break;
        case task_reception::refuses:
            if (environment_.has_owner) {
                record_.on_overfilled_target();
            }
            reply(serial, scheduling::attempt_result::not_run, 0);
            break;
        case task_reception::fails:
            record_.on_run(item.job, item.task);
            reply(serial, scheduling::attempt_result::failed, failure_reply_us);
            break;
        case task_reception::silent:
            break;
        }
    }

    /// A target begins a task.
    void run_task(std::uint64_t serial) {
        auto& item = attempts_[serial];
        item.state = attempt_phase::running;
        record_.on_run(item.job, item.task);
        const double work = plan_.jobs[item.job].work_ms[item.task];
        events_.push(now_ + targets_[item.target].run_time(work), event_kind::task_ends, 0, serial);
    }

    /// A task ends, unless its attempt was stopped or its target was lost meanwhile.
    void end_task(std::uint64_t serial) {
        auto& item = attempts_[serial];
        if (item.state != attempt_phase::running || targets_[item.target].lost()) {
            return;
        }
        reply(serial, scheduling::attempt_result::answered, 0);
        if (const auto next = targets_[item.target].end_task()) {
            run_task(*next);
        }
    }

    /// The target sends the result of an attempt after `delay`.
    void reply(std::uint64_t serial, scheduling::attempt_result result, virtual_us delay) {
        attempts_[serial].state = attempt_phase::ended;
        attempts_[serial].result = result;
        record_.count_messages(1.0);
        events_.push(now_ + delay + hop_us, event_kind::reply_arrives, 0, serial);
    }

    /// Reports the end of an attempt to the policy, unless that was done before.
    void report(std::uint64_t serial, scheduling::attempt_result result) {
        auto& item = attempts_[serial];
        if (item.reported) {
            return;
        }
        item.reported = true;
        item.state = attempt_phase::ended;
        if (result == scheduling::attempt_result::answered) {
            // The start, the reply, and the attempt's share of the start record.
            record_.on_answer(item.job, item.task, 2.0 + item.journal_messages, now_);
        }
        policy_.finished(item.id, result, clock());
    }

    /// Sends the stops of the last decisions: one message per target.
    void stop_attempts() {
        std::set<std::size_t> notified_targets;
        for (const auto& stop : decisions_.stops) {
            const auto serial = serial_by_slot_.at(stop.attempt.slot);
            auto& item = attempts_[serial];
            item.stopped = true;
            if (item.state != attempt_phase::in_journal) {
                notified_targets.insert(item.target);
                events_.push(now_ + hop_us, event_kind::stop_arrives, 0, serial);
            }
        }
        record_.count_messages(static_cast<double>(notified_targets.size()));
    }

    /// A stop reaches its target.
    void stop_at_target(std::uint64_t serial) {
        auto& item = attempts_[serial];
        auto& target = targets_[item.target];
        if (target.lost()) {
            return;
        }
        if (item.state == attempt_phase::waiting) {
            target.remove_waiting(serial);
            reply(serial, scheduling::attempt_result::not_run, 0);
        } else if (item.state == attempt_phase::running) {
            reply(serial, scheduling::attempt_result::failed, 0);
            if (const auto next = target.end_task()) {
                run_task(*next);
            }
        }
    }

    /// Starts the faults of all targets and cancels the jobs of the cancellation wave.
    void begin_fault() {
        for (auto& target : targets_) {
            target.begin_fault();
        }
        if (plan_.has(fault::target_loss)) {
            events_.push(now_ + loss_detection_us, event_kind::loss_detected);
        }
        for (std::uint32_t index = 0; index < plan_.jobs.size(); ++index) {
            const auto& job = plan_.jobs[index];
            auto& record = record_.job(index);
            if (job.in_cancellation_wave && job.arrival + hop_us < now_ && record.ends == 0) {
                record.cancelled = true;
                policy_.cancel(static_cast<scheduling::job_id>(index));
            }
        }
    }

    /// Removes the lost targets from the policy and reports the attempts sent to them as lost.
    void remove_lost_targets() {
        for (std::size_t index = 0; index < targets_.size(); ++index) {
            if (targets_[index].will_be_lost()) {
                removed_.insert(index);
                policy_.remove_target(target_name(index));
            }
        }
        for (std::uint64_t serial = 0; serial < attempts_.size(); ++serial) {
            const auto& item = attempts_[serial];
            const bool open =
                item.state != attempt_phase::ended && item.state != attempt_phase::in_journal;
            if (open && removed_.contains(item.target)) {
                report(serial, scheduling::attempt_result::lost);
            }
        }
    }

    const workload& plan_;
    Policy& policy_;
    environment_options environment_;
    run_record record_;
    event_queue events_;
    virtual_us now_ = 0;
    std::optional<virtual_us> timer_;
    std::vector<simulated_target> targets_;
    std::unordered_map<std::uint32_t, std::size_t> target_index_by_id_;
    std::set<std::size_t> removed_; ///< Targets that were removed from the policy.
    std::vector<attempt> attempts_;
    /// Serial number of the latest attempt in each slot of the policy's attempt table.
    std::unordered_map<std::uint32_t, std::uint64_t> serial_by_slot_;
    std::vector<std::uint64_t> next_append_; ///< Attempts whose start records wait for an append.
    std::vector<std::uint64_t> current_append_; ///< Attempts whose start records are in the append.
    std::vector<bool> recorded_; ///< Whether each job's start record was appended or is waiting.
    /// Attempts that wait for the start record of their job, by job.
    std::unordered_map<std::uint32_t, std::vector<std::uint64_t>> waiting_for_record_;
    bool append_in_flight_ = false;
    scheduling::decisions decisions_;
};

} // namespace hawthornstall::policy_bench
