#include "policy/placement_simulation.hpp"

#include "hawthornstall/runs/job_scheduler.hpp"
#include "policy/simulated_runs.hpp"

#include <map>
#include <queue>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace hawthornstall::policy_bench {
namespace detail {

using core::duration_ms;

/// Between scheduler and lease holders, each way.
constexpr duration_ms message_delay{3};

/// Longest time between two rounds of placement.
constexpr duration_ms tick_interval{10};

/// A holder knows of the loss of a target when the lease has ended.
constexpr duration_ms loss_detection = runs::run_bounds{}.longest_lease;

/// Terms of all jobs, from section 2 of the design page.
constexpr double stretch = 1.6;
constexpr duration_ms latency_target{60};
constexpr duration_ms deadline{13'000};

/// From the first reports to the first arrival. The scheduler takes the capacity as known 1 s after
/// the first report.
constexpr duration_ms report_lead{1'500};

/// Jobs without an answer this long after the last arrival are counted as such.
constexpr duration_ms longest_drain{60'000};

/// Clock of the scheduler at the first possible arrival.
constexpr core::time_ms origin = core::from_count(1'000'000);

struct tick {};
struct job_arrives {
    std::size_t job = 0;
};
struct caller_leaves {
    std::size_t job = 0;
};
struct stop_arrives {
    std::uint64_t key = 0;
};
struct run_completes {
    std::uint64_t key = 0;
};
struct end_arrives {
    runs::run_ended message;
};
struct report_arrives {
    std::size_t host = 0;
    runs::target_report report;
};
struct targets_lost {};
struct loss_detected {};
struct targets_return {};

using placement_event =
    std::variant<tick, job_arrives, caller_leaves, simulated_start, stop_arrives, run_completes,
                 end_arrives, report_arrives, targets_lost, loss_detected, targets_return>;

/// Events in order of time; those of the same time in order of creation.
class placement_events {
public:
    void push(duration_ms at, placement_event what) {
        events_.push({at, next_sequence_++, std::move(what)});
    }

    [[nodiscard]] bool empty() const { return events_.empty(); }
    [[nodiscard]] duration_ms next_at() const { return events_.top().at; }

    placement_event pop() {
        auto first = events_.top().what;
        events_.pop();
        return first;
    }

private:
    struct entry {
        duration_ms at{};
        std::uint64_t sequence = 0;
        placement_event what;
    };
    struct later {
        bool operator()(const entry& left, const entry& right) const {
            return std::pair{left.at, left.sequence} > std::pair{right.at, right.sequence};
        }
    };

    std::priority_queue<entry, std::vector<entry>, later> events_;
    std::uint64_t next_sequence_ = 0;
};

/// What the scheduler has granted and what still waits, as the decisions say. Needed for the time
/// in which targets are idle although a task waits.
class granted_work {
public:
    explicit granted_work(const placement_workload& plan)
        : plan_(plan), waiting_(plan.jobs.size()), is_open_(plan.jobs.size()),
          runs_on_(plan.targets.size()), is_usable_(plan.targets.size(), true) {}

    void arrived(std::size_t job) {
        is_open_.at(job) = true;
        set_waiting(job, plan_.jobs.at(job).work.size());
    }

    /// No further task of the job starts.
    void ending(std::size_t job) {
        is_open_.at(job) = false;
        set_waiting(job, 0);
    }

    void granted(std::uint64_t key, std::size_t job, std::size_t target) {
        runs_[key] = {job, target};
        ++runs_on_.at(target);
        set_waiting(job, waiting_.at(job) - 1);
    }

    void ended(const runs::run_ended& message) {
        const auto run = runs_.find(message.key);
        if (run == runs_.end()) {
            return;
        }
        const auto [job, target] = run->second;
        --runs_on_.at(target);
        if (message.end != runs::run_end::done && is_open_.at(job)) {
            set_waiting(job, waiting_.at(job) + 1);
        }
        runs_.erase(run);
    }

    void set_usable(std::size_t target, bool is_usable) { is_usable_.at(target) = is_usable; }

    /// Usable targets on which nothing is granted, while a task waits.
    [[nodiscard]] std::size_t idle_targets() const {
        std::size_t idle = 0;
        for (std::size_t index = 0; total_waiting_ > 0 && index < runs_on_.size(); ++index) {
            idle += runs_on_.at(index) == 0 && is_usable_.at(index) ? 1 : 0;
        }
        return idle;
    }

private:
    struct run {
        std::size_t job = 0;
        std::size_t target = 0;
    };

    void set_waiting(std::size_t job, std::size_t count) {
        total_waiting_ += count;
        total_waiting_ -= std::exchange(waiting_.at(job), count);
    }

    const placement_workload& plan_;
    std::vector<std::size_t> waiting_; ///< Tasks, by job.
    std::vector<bool> is_open_;        ///< By job: its tasks may start.
    std::size_t total_waiting_ = 0;
    std::vector<std::size_t> runs_on_; ///< By target.
    std::vector<bool> is_usable_;      ///< By target.
    std::map<std::uint64_t, run> runs_;
};

/// Objective of a job: the scheduler and the caller know the declared run time only.
duration_ms objective(const placement_job& job) {
    return latency_target + duration_ms{static_cast<duration_ms::rep>(
                                stretch * static_cast<double>(job.declared.count()))};
}

runs::job_request make_request(const placement_job& job, std::size_t number) {
    runs::job_step step;
    step.count = static_cast<std::uint32_t>(job.work.size());
    step.resources.cpu_millis = job.cpu_millis;
    step.estimated = job.declared;
    return {.id = std::to_string(number),
            .specification = "",
            .steps = {step},
            .terms = {.service = "placement",
                      .max_attempts = 2,
                      .stretch = stretch,
                      .latency_target = latency_target,
                      .deadline = deadline}};
}

/// The event loop. Submissions have the number of their job.
class placement_simulation {
public:
    placement_simulation(const placement_workload& plan, runs::placement_policy policy)
        : plan_(plan), scheduler_(0, policy), record_(plan), runs_(plan, record_), work_(plan),
          has_left_(plan.jobs.size()) {
        for (std::size_t index = 0; index < plan.targets.size(); ++index) {
            target_by_name_[placement_target_name(index)] = index;
        }
    }

    [[nodiscard]] placement_result run() {
        prepare();
        while (!events_.empty()) {
            record_.idle(work_.idle_targets(), now_, events_.next_at());
            now_ = events_.next_at();
            while (!events_.empty() && events_.next_at() == now_) {
                std::visit([this](const auto& event) { handle(event); }, events_.pop());
            }
            scheduler_.place(clock());
            carry_out(scheduler_.take_effects());
        }
        return record_.result(scheduler_.idle());
    }

private:
    [[nodiscard]] core::time_ms clock() const { return origin + now_; }

    void prepare() {
        now_ = -report_lead;
        scheduler_.start_scheduling();
        send_reports();
        events_.push(now_, tick{});
        for (std::size_t job = 0; job < plan_.jobs.size(); ++job) {
            events_.push(plan_.jobs[job].arrival, job_arrives{job});
        }
        if (plan_.parameters.loses_targets) {
            events_.push(plan_.lost_at, targets_lost{});
            events_.push(plan_.lost_at + loss_detection, loss_detected{});
            events_.push(plan_.returned_at, targets_return{});
        }
    }

    void handle(const tick&) {
        const bool is_active = record_.unanswered() > 0 || !scheduler_.idle();
        if (is_active && now_ < plan_.parameters.length + longest_drain) {
            events_.push(now_ + tick_interval, tick{});
        }
    }

    void handle(const job_arrives& event) {
        const auto& job = plan_.jobs.at(event.job);
        work_.arrived(event.job);
        scheduler_.submit(
            placement_host_name(job.front_end),
            {.number = event.job, .first_number = event.job, .job = make_request(job, event.job)},
            clock());
        events_.push(now_ + deadline, caller_leaves{event.job});
    }

    /// A caller that leaves is counted once the scheduler says that its job has ended: a job that
    /// the simulation or the scheduler has lost stays without an answer.
    void handle(const caller_leaves& event) {
        carry_out(scheduler_.take_effects());
        if (!record_.is_answered(event.job)) {
            has_left_.at(event.job) = true;
            const auto host = placement_host_name(plan_.jobs.at(event.job).front_end);
            scheduler_.cancel(host, {.number = event.job}, clock());
        }
    }

    void handle(const simulated_start& start) {
        if (!runs_.accepts(start.target)) {
            send_end({.key = start.key, .end = runs::run_end::rejected});
        } else if (const auto end = runs_.start(start, now_)) {
            events_.push(*end, run_completes{start.key});
        }
    }

    void handle(const stop_arrives& event) {
        if (auto end = runs_.end(event.key, runs::run_end::stopped, now_)) {
            send_end(std::move(*end));
        }
    }

    void handle(const run_completes& event) {
        if (auto end = runs_.end(event.key, runs::run_end::done, now_)) {
            send_end(std::move(*end));
        }
    }

    void handle(const end_arrives& event) {
        work_.ended(event.message);
        scheduler_.on_run_ended(event.message, clock());
    }

    void handle(const report_arrives& event) {
        for (const auto& target : event.report.targets) {
            work_.set_usable(target_by_name_.at(target.id), target.usable);
        }
        scheduler_.report(placement_host_name(event.host), event.report, clock());
    }

    void handle(const targets_lost&) { runs_.lose_targets(now_); }

    void handle(const loss_detected&) {
        for (auto& end : runs_.detect_loss(now_)) {
            send_end(std::move(end));
        }
        send_reports();
    }

    void handle(const targets_return&) {
        runs_.return_targets();
        send_reports();
    }

    void send_reports() {
        for (std::size_t host = 0; host < placement_host_count; ++host) {
            events_.push(now_ + message_delay, report_arrives{host, runs_.report(host)});
        }
    }

    void send_end(runs::run_ended message) {
        events_.push(now_ + message_delay, end_arrives{std::move(message)});
    }

    void carry_out(const runs::scheduler_effects& effects) {
        for (const auto& event : effects.events) {
            if (event.what == "job_ending") {
                work_.ending(std::stoul(event.job));
            } else if (event.what == "job_ended" && has_left_.at(std::stoul(event.job))) {
                record_.answered(std::stoul(event.job), placement_outcome::not_done);
            }
        }
        for (const auto& item : effects.messages) {
            if (const auto* const grant = std::get_if<runs::grant_run>(&item.message)) {
                carry_out(*grant);
            } else if (const auto* const stop = std::get_if<runs::stop_run>(&item.message)) {
                events_.push(now_ + message_delay, stop_arrives{stop->key});
            } else if (const auto* const end = std::get_if<runs::job_ended>(&item.message)) {
                record_.answered(end->number, outcome_of(*end));
                work_.ending(end->number);
            }
        }
    }

    void carry_out(const runs::grant_run& grant) {
        const auto& job = plan_.jobs.at(grant.number);
        const auto target = target_by_name_.at(grant.target);
        record_.granted(grant.number, grant.index, now_);
        work_.granted(grant.key, grant.number, target);
        events_.push(now_ + message_delay, simulated_start{.key = grant.key,
                                                           .target = target,
                                                           .cpu_millis = job.cpu_millis,
                                                           .work = job.work.at(grant.index)});
    }

    [[nodiscard]] placement_outcome outcome_of(const runs::job_ended& end) const {
        if (end.result == runs::job_result::refused) {
            return placement_outcome::refused;
        }
        if (end.result != runs::job_result::completed) {
            return placement_outcome::not_done;
        }
        const auto& job = plan_.jobs.at(end.number);
        return now_ <= job.arrival + objective(job) ? placement_outcome::in_time
                                                    : placement_outcome::late;
    }

    const placement_workload& plan_;
    runs::job_scheduler scheduler_;
    placement_record record_;
    simulated_runs runs_;
    granted_work work_;
    std::vector<bool> has_left_; ///< By job: its caller has left without an answer.
    placement_events events_;
    duration_ms now_{};
    std::map<std::string, std::size_t, std::less<>> target_by_name_;
};

} // namespace detail

placement_result simulate_placement(const placement_workload& plan, runs::placement_policy policy) {
    return detail::placement_simulation{plan, policy}.run();
}

} // namespace hawthornstall::policy_bench
