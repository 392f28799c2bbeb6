#pragma once

/// Runs one policy on one workload with a virtual clock. Only the interfaces of the policy are
/// faked: entry host, journal and targets.

#include "policy/dispatch_policy.hpp"
#include "policy/event_queue.hpp"
#include "policy/fake_target.hpp"
#include "policy/run_record.hpp"

#include <set>
#include <string>
#include <unordered_map>

namespace hawthornstall::policy_bench {

template <dispatch_policy Policy> class simulation {
public:
    simulation(const workload& plan, Policy& policy, path_options path)
        : plan_(plan), policy_(policy), path_(path), record_(plan), recorded_(plan.jobs.size()) {
        for (std::size_t index = 0; index < plan.targets.size(); ++index) {
            const auto slots = plan.targets[index].slots;
            targets_.emplace_back(plan.targets[index], path.queues_at_target);
            const auto number = policy_.set_target(
                target_name(index), {.slots = slots, .cores = slots, .memory_mb = 250'000}, true);
            numbers_.emplace(static_cast<std::uint32_t>(number), index);
        }
    }

    [[nodiscard]] run_result run() {
        const auto hop = path_.has_owner ? hop_us : 0;
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
    enum class phase : std::uint8_t { in_journal, sent, waiting, running, ended };

    struct attempt {
        scheduling::attempt_id id;
        std::uint32_t job = 0;
        std::uint32_t task = 0;
        std::size_t target = 0;
        phase step = phase::in_journal;
        bool stopped = false;
        bool reported = false; ///< The policy knows the end.
        double journal_messages = 0.0;
        scheduling::attempt_result result = scheduling::attempt_result::lost;
    };

    /// A start record goes to two other replicas and comes back from each.
    static constexpr double messages_per_append = 4.0;
    static constexpr virtual_us journal_us = 2 * hop_us;
    /// A target that fails every task does so at once.
    static constexpr virtual_us failure_us = 1 * us_per_ms;
    /// Time after which a silent target connection is given up (section 11 of the design page).
    static constexpr virtual_us detection_us = 1'500 * us_per_ms;

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
            give_up_lost_targets();
            break;
        }
        decide();
    }

    void submit(std::uint32_t index) {
        const auto& job = plan_.jobs[index];
        // Entry host to owner, and the answer back.
        record_.count_messages(path_.has_owner ? 2.0 : 0.0);
        const auto team = "team-" + std::to_string(job.team);
        const auto deadline = core::from_count(job.arrival / us_per_ms) + plan_.deadline;
        policy_.submit(static_cast<scheduling::job_id>(index),
                       {.team = team,
                        .idempotent = job.idempotent,
                        .single = job.single,
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
            // At least one tick ahead, so that the virtual clock always advances.
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
        const bool has_owner = path_.has_owner;
        record_.on_end(index, end, has_owner ? 2.0 : 0.0, now_ + (has_owner ? hop_us : 0));
    }

    void begin_attempt(const scheduling::start_decision& start) {
        const auto serial = attempts_.size();
        const auto index = static_cast<std::uint32_t>(start.job);
        attempts_.push_back({.id = start.attempt,
                             .job = index,
                             .task = start.task,
                             .target = numbers_.at(static_cast<std::uint32_t>(start.target))});
        open_.insert_or_assign(start.attempt.slot, serial);
        const auto waiting = waiting_.find(index);
        const bool needs_record = path_.has_owner && !plan_.jobs[index].single &&
                                  (start.attempt_number > 1 || !recorded_[index]);
        if (waiting != waiting_.end()) {
            waiting->second.push_back(serial);
        } else if (!needs_record) {
            send(serial);
        } else {
            // The first start of a job records the first attempts of all its tasks.
            if (!recorded_[index]) {
                recorded_[index] = true;
                waiting_[index];
            }
            batch_.push_back(serial);
        }
    }

    /// One append is in flight at a time; records that come meanwhile share the next one.
    void append() {
        if (append_in_flight_ || batch_.empty()) {
            return;
        }
        record_.count_messages(messages_per_append);
        for (const auto serial : batch_) {
            attempts_[serial].journal_messages =
                messages_per_append / static_cast<double>(batch_.size());
        }
        appended_.swap(batch_);
        batch_.clear();
        append_in_flight_ = true;
        events_.push(now_ + journal_us, event_kind::journal_acks);
    }

    void finish_append() {
        append_in_flight_ = false;
        std::vector<std::uint64_t> acknowledged;
        for (const auto serial : appended_) {
            acknowledged.push_back(serial);
            if (const auto waiting = waiting_.find(attempts_[serial].job);
                waiting != waiting_.end()) {
                acknowledged.insert(acknowledged.end(), waiting->second.begin(),
                                    waiting->second.end());
                waiting_.erase(waiting);
            }
        }
        appended_.clear();
        for (const auto serial : acknowledged) {
            if (attempts_[serial].stopped) {
                attempts_[serial].step = phase::ended;
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
            item.step = phase::ended;
            policy_.not_sent(item.id, scheduling::not_sent_cause::target, clock());
            return;
        }
        item.step = phase::sent;
        record_.count_messages(1.0);
        policy_.sent(item.id, clock());
        events_.push(now_ + hop_us, event_kind::task_arrives, 0, serial);
    }

    void receive(std::uint64_t serial) {
        auto& item = attempts_[serial];
        auto& target = targets_[item.target];
        if (item.stopped && !target.lost()) {
            reply(serial, scheduling::attempt_result::not_run, 0);
            return;
        }
        switch (target.receive(serial)) {
        case reception::runs:
            run_task(serial);
            break;
        case reception::queues:
            item.step = phase::waiting;
            break;
        case reception::refuses:
            if (path_.has_owner) {
                record_.on_overfilled_target();
            }
            reply(serial, scheduling::attempt_result::not_run, 0);
            break;
        case reception::fails:
            record_.on_run(item.job, item.task);
            reply(serial, scheduling::attempt_result::failed, failure_us);
            break;
        case reception::silent:
            break;
        }
    }

    void run_task(std::uint64_t serial) {
        auto& item = attempts_[serial];
        item.step = phase::running;
        record_.on_run(item.job, item.task);
        const double work = plan_.jobs[item.job].work_ms[item.task];
        events_.push(now_ + targets_[item.target].run_time(work), event_kind::task_ends, 0, serial);
    }

    void end_task(std::uint64_t serial) {
        auto& item = attempts_[serial];
        if (item.step != phase::running || targets_[item.target].lost()) {
            return;
        }
        reply(serial, scheduling::attempt_result::answered, 0);
        if (const auto next = targets_[item.target].end_task()) {
            run_task(*next);
        }
    }

    void reply(std::uint64_t serial, scheduling::attempt_result result, virtual_us delay) {
        attempts_[serial].step = phase::ended;
        attempts_[serial].result = result;
        record_.count_messages(1.0);
        events_.push(now_ + delay + hop_us, event_kind::reply_arrives, 0, serial);
    }

    void report(std::uint64_t serial, scheduling::attempt_result result) {
        auto& item = attempts_[serial];
        if (item.reported) {
            return;
        }
        item.reported = true;
        item.step = phase::ended;
        if (result == scheduling::attempt_result::answered) {
            // To the target and back, and the share in the start record.
            record_.on_answer(item.job, item.task, 2.0 + item.journal_messages, now_);
        }
        policy_.finished(item.id, result, clock());
    }

    void stop_attempts() {
        std::set<std::size_t> told;
        for (const auto& stop : decisions_.stops) {
            const auto serial = open_.at(stop.attempt.slot);
            auto& item = attempts_[serial];
            item.stopped = true;
            if (item.step != phase::in_journal) {
                told.insert(item.target);
                events_.push(now_ + hop_us, event_kind::stop_arrives, 0, serial);
            }
        }
        record_.count_messages(static_cast<double>(told.size()));
    }

    void stop_at_target(std::uint64_t serial) {
        auto& item = attempts_[serial];
        auto& target = targets_[item.target];
        if (target.lost()) {
            return;
        }
        if (item.step == phase::waiting) {
            target.drop_waiting(serial);
            reply(serial, scheduling::attempt_result::not_run, 0);
        } else if (item.step == phase::running) {
            reply(serial, scheduling::attempt_result::failed, 0);
            if (const auto next = target.end_task()) {
                run_task(*next);
            }
        }
    }

    void begin_fault() {
        for (auto& target : targets_) {
            target.begin_fault();
        }
        if (plan_.has(fault::target_loss)) {
            events_.push(now_ + detection_us, event_kind::loss_detected);
        }
        for (std::uint32_t index = 0; index < plan_.jobs.size(); ++index) {
            const auto& job = plan_.jobs[index];
            auto& known = record_.job(index);
            if (job.in_cancellation_wave && job.arrival + hop_us < now_ && known.ends == 0) {
                known.cancelled = true;
                policy_.cancel(static_cast<scheduling::job_id>(index));
            }
        }
    }

    void give_up_lost_targets() {
        for (std::size_t index = 0; index < targets_.size(); ++index) {
            if (targets_[index].will_be_lost()) {
                removed_.insert(index);
                policy_.remove_target(target_name(index));
            }
        }
        for (std::uint64_t serial = 0; serial < attempts_.size(); ++serial) {
            const auto& item = attempts_[serial];
            const bool open = item.step != phase::ended && item.step != phase::in_journal;
            if (open && removed_.contains(item.target)) {
                report(serial, scheduling::attempt_result::lost);
            }
        }
    }

    const workload& plan_;
    Policy& policy_;
    path_options path_;
    run_record record_;
    event_queue events_;
    virtual_us now_ = 0;
    std::optional<virtual_us> timer_;
    std::vector<fake_target> targets_;
    std::unordered_map<std::uint32_t, std::size_t> numbers_;
    std::set<std::size_t> removed_;
    std::vector<attempt> attempts_;
    std::unordered_map<std::uint32_t, std::uint64_t> open_; ///< Serial by slot of the attempt.
    std::vector<std::uint64_t> batch_;
    std::vector<std::uint64_t> appended_;
    std::vector<bool> recorded_; ///< Jobs whose start record was written or is on its way.
    std::unordered_map<std::uint32_t, std::vector<std::uint64_t>> waiting_; ///< For it, by job.
    bool append_in_flight_ = false;
    scheduling::decisions decisions_;
};

} // namespace hawthornstall::policy_bench
