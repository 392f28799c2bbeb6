#pragma once

/// Simulation of three hosts that compete for one shard, and of three replicas, on a virtual clock.

#include "hawthornstall/journal/replica.hpp"
#include "hawthornstall/journal/submission_table.hpp"
#include "history.hpp"
#include "simulation_types.hpp"

#include <algorithm>
#include <array>
#include <functional>
#include <map>
#include <random>

namespace hawthornstall::journal::testing {

/// Deterministic simulation: the seed decides the network's behaviour and all random choices.
/// `Replica` and `Table` are the production types or deliberately broken ones.
template <class Replica, class Table> class simulation {
public:
    explicit simulation(std::uint64_t seed, network_settings network = {})
        : random_(seed), network_(network) {
        for (std::size_t index = 0; index < host_count; ++index) {
            start_host(index);
            tick(index);
        }
        for (std::size_t index = 0; index < replica_count; ++index) {
            replicas_.at(index).incarnation = index * 1000;
            restart_replica(index);
        }
    }

    // Not movable, because scheduled callbacks refer to the simulation.
    simulation(const simulation&) = delete;
    simulation& operator=(const simulation&) = delete;
    simulation(simulation&&) = delete;
    simulation& operator=(simulation&&) = delete;
    ~simulation() = default;

    /// Runs all events up to `end`.
    void run_until(time_ms end) {
        while (!schedule_.empty() && schedule_.begin()->first.first <= end) {
            now_ = schedule_.begin()->first.first;
            const auto action = std::move(schedule_.begin()->second);
            schedule_.erase(schedule_.begin());
            action();
        }
        now_ = end;
    }

    void run_for(duration_ms duration) { run_until(now_ + duration); }

    /// Schedules `action`. Actions at the same time run in the order of these calls.
    void at(time_ms time, std::function<void()> action) {
        schedule_.emplace(std::pair{std::max(time, now_), next_event_++}, std::move(action));
    }

    /// Random number below `bound`.
    [[nodiscard]] unsigned draw(unsigned bound) {
        return static_cast<unsigned>(random_() % std::max(bound, 1U));
    }
    [[nodiscard]] bool chance(unsigned percent) { return draw(100) < percent; }

    /// Makes a host take ownership. Unless `others_agree`, the previous owner doesn't give it up.
    void choose_owner(std::size_t index, bool others_agree = true) {
        for (auto& host : hosts_) {
            host.is_chosen = host.is_chosen && !others_agree;
        }
        hosts_.at(index).is_chosen = true;
    }
    /// Restarts a host without state after `down`.
    void restart_host(std::size_t index, duration_ms down) {
        auto& host = hosts_.at(index);
        ++host.incarnation;
        host.down_until = now_ + down;
        host.paused_until = {};
        start_host(index);
    }
    /// Suspends a host, as a stopped process; its inputs are handled when it resumes.
    void pause_host(std::size_t index, duration_ms duration) {
        hosts_.at(index).paused_until = now_ + duration;
        at(now_ + duration, [this, index] { resume_host(index); });
    }
    /// Restarts a replica without state after `down`.
    void restart_replica(std::size_t index, duration_ms down = {}) {
        auto& replica = replicas_.at(index);
        ++replica.incarnation;
        replica.machine = std::make_unique<Replica>(replica_names.at(index), replica.incarnation);
        replica.down_until = now_ + down;
    }
    /// Drops all messages between a host and a replica for `duration`.
    void cut(std::size_t host, std::size_t replica, duration_ms duration) {
        cut_until_.at(host).at(replica) = now_ + duration;
    }
    void set_network(network_settings network) { network_ = network; }
    void set_clock_skew(std::size_t host, duration_ms skew) { hosts_.at(host).clock_skew = skew; }

    /// Whether the replica belongs to a generation.
    [[nodiscard]] bool is_recovered(std::size_t replica) const {
        return replicas_.at(replica).machine->status(simulated_shard).generation != 0;
    }
    /// Chosen host that serves with a quorum.
    [[nodiscard]] std::optional<std::size_t> serving_host() const {
        for (std::size_t index = 0; index < host_count; ++index) {
            const auto& host = hosts_.at(index);
            if (host.is_chosen && host.log->is_serving() && host.log->has_quorum()) {
                return index;
            }
        }
        return std::nullopt;
    }
    [[nodiscard]] const owner_log& log(std::size_t host) const { return *hosts_.at(host).log; }
    [[nodiscard]] time_ms now() const { return now_; }
    [[nodiscard]] const history& events() const { return events_; }
    [[nodiscard]] const run_counts& counts() const { return counts_; }

    /// Verdict on the last call that reached a serving host.
    [[nodiscard]] std::optional<submission_verdict> last_verdict() const { return last_verdict_; }

    /// Identifier of a new submission, as the host would issue it.
    [[nodiscard]] core::submission_id issue(std::size_t host) {
        return {.zone = simulated_shard.zone,
                .generation = hosts_.at(host).log->generation(),
                .issued = wall(hosts_.at(host)),
                .key = std::to_string(++last_key_)};
    }

    /// Delivers a call to a host, which ignores it unless it serves the shard.
    void submit(std::size_t index, const simulated_call& call) {
        deliver_to_host(index, hosts_.at(index).incarnation,
                        [this, index, call] { handle_call(index, call); });
    }

    /// Chance in percent that the owner refuses a new submission.
    unsigned refusal_percent = 15;
    /// Chances in percent that an attempt fails definitely, and that its reply is lost.
    unsigned failure_percent = 15;
    unsigned loss_percent = 5;
    int min_run_time_ms = 1;
    int max_run_time_ms = 100;
    /// Whether all tasks start right after the registration; otherwise some start later, as when
    /// they wait for a slot.
    bool starts_at_once = false;

private:
    struct simulated_replica {
        std::uint64_t incarnation = 0;
        std::unique_ptr<Replica> machine;
        time_ms down_until{};
    };

    [[nodiscard]] time_ms wall(const simulated_host& host) const {
        constexpr duration_ms epoch_offset{1'000'000};
        return now_ + epoch_offset + host.clock_skew;
    }

    void start_host(std::size_t index) {
        auto& host = hosts_.at(index);
        host.log = std::make_unique<owner_log>(
            simulated_shard, owner_identity{host_names.at(index), host.incarnation}, replica_names,
            simulated_owner_settings);
        host.inbox.clear();
        host.on_commit.clear();
        host.jobs.clear();
    }

    /// Handles the inputs that arrived during a pause.
    void resume_host(std::size_t index) {
        auto& host = hosts_.at(index);
        while (!host.inbox.empty() && host.paused_until <= now_) {
            const auto input = std::move(host.inbox.front());
            host.inbox.pop_front();
            input();
        }
    }

    /// Runs an input of the given incarnation of a host, or queues it while the host is paused. It
    /// is lost if that process has ended.
    void deliver_to_host(std::size_t index, std::uint64_t incarnation,
                         std::function<void()> input) {
        auto& host = hosts_.at(index);
        if (host.incarnation != incarnation || host.down_until > now_) {
            return;
        }
        if (host.paused_until > now_) {
            host.inbox.push_back(std::move(input));
        } else {
            input();
        }
    }

    void tick(std::size_t index) {
        at(now_ + simulated_owner_settings.resend_after, [this, index] { tick(index); });
        auto& host = hosts_.at(index);
        if (host.paused_until > now_ || host.down_until > now_) {
            return;
        }
        if (host.is_chosen && host.log->phase() == owner_phase::idle) {
            carry_out(index, host.log->take_ownership(now_));
        }
        host.log->forget_before(
            Table{*host.log, simulated_table_settings}.expiry_bound(wall(host)));
        carry_out(index, host.log->tick(now_, wall(host)));
    }

    void carry_out(std::size_t index, owner_effects effects) {
        for (auto& effect : effects) {
            std::visit([this, index](auto& body) { apply(index, body); }, effect);
        }
    }

    void apply(std::size_t index, send_to_replica& effect) {
        const auto target = static_cast<std::size_t>(effect.replica.back() - '0');
        const auto copies = chance(network_.duplicate_percent) ? 2 : 1;
        for (int copy = 0; copy < copies; ++copy) {
            send(index, target,
                 [this, index, target, incarnation = hosts_.at(index).incarnation,
                  message = effect.message] {
                     deliver_to_replica(index, incarnation, target, message);
                 });
        }
    }
    void apply(std::size_t index, const appends_committed& effect) {
        auto& waiting = hosts_.at(index).on_commit;
        std::vector<std::function<void()>> actions;
        while (!waiting.empty() && waiting.begin()->first <= effect.sequence) {
            actions.push_back(std::move(waiting.begin()->second));
            waiting.erase(waiting.begin());
        }
        for (const auto& action : actions) {
            action();
        }
    }
    void apply(std::size_t /*index*/, const serving_started& effect) {
        counts_.generations += effect.generation > last_generation_ ? 1 : 0;
        last_generation_ = std::max(last_generation_, effect.generation);
    }
    void apply(std::size_t index, const stepped_down& /*effect*/) {
        ++counts_.step_downs;
        hosts_.at(index).on_commit.clear();
        hosts_.at(index).jobs.clear();
    }
    void apply(std::size_t /*index*/, const quorum_changed& /*effect*/) {}

    /// Sends a message between a host and a replica, in either direction.
    void send(std::size_t host, std::size_t replica, std::function<void()> delivery) {
        if (chance(network_.drop_percent) || cut_until_.at(host).at(replica) > now_) {
            return;
        }
        const auto delay = 1 + draw(static_cast<unsigned>(network_.max_delay_ms));
        at(now_ + duration_ms{delay}, std::move(delivery));
    }

    void deliver_to_replica(std::size_t host, std::uint64_t incarnation, std::size_t target,
                            const owner_message& message) {
        auto& replica = replicas_.at(target);
        if (replica.down_until > now_) {
            return;
        }
        const auto reply = replica.machine->handle(message);
        send(host, target, [this, host, incarnation, reply] {
            deliver_to_host(host, incarnation, [this, host, reply] {
                auto& receiver = hosts_.at(host);
                carry_out(host, receiver.log->handle(reply, now_, wall(receiver)));
            });
        });
    }

    void append(std::size_t index, const job_records& records, std::function<void()> on_commit) {
        auto result = hosts_.at(index).log->append(records, now_);
        if (result.sequence != 0) {
            hosts_.at(index).on_commit.emplace(result.sequence, std::move(on_commit));
        }
        carry_out(index, std::move(result.effects));
    }

    void handle_call(std::size_t index, const simulated_call& call) {
        auto& host = hosts_.at(index);
        if (!host.log->is_serving()) {
            return;
        }
        const Table table{*host.log, simulated_table_settings};
        const auto found = table.find(call.id, digest(call.content), wall(host));
        ++counts_.verdicts[found.verdict];
        last_verdict_ = found.verdict;
        const auto id = core::to_string(call.id);
        switch (found.verdict) {
        case submission_verdict::fresh:
            accept(index, call, chance(refusal_percent));
            break;
        case submission_verdict::retryable:
            accept(index, call, false);
            break;
        case submission_verdict::answered:
            ++counts_.repeated_answers;
            record({.kind = event_kind::answer, .id = id, .answer = join(found.end->results)});
            break;
        case submission_verdict::refused:
            refuse(call);
            break;
        case submission_verdict::different_content: {
            auto result = host.log->confirm_ownership(now_);
            host.on_commit.emplace(result.sequence, [this, call] { refuse(call); });
            carry_out(index, std::move(result.effects));
            break;
        }
        default:
            break;
        }
    }

    /// Registers a submission, and either refuses it or starts its tasks.
    void accept(std::size_t index, const simulated_call& call, bool is_refused) {
        job_records records{.submission = key_of(call.id),
                            .registration =
                                submission_registration{digest(call.content), call.task_count}};
        if (is_refused) {
            records.end = job_end{.outcome = core::outcome_class::refused_not_run};
            append(index, records, [this, call] { refuse(call); });
            return;
        }
        const auto id = core::to_string(call.id);
        hosts_.at(index).jobs[records.submission] = {id, call.content,
                                                     std::vector<std::string>(call.task_count)};
        const auto first_starts = starts_at_once ? call.task_count : draw(call.task_count + 1);
        append(index, records, [] {});
        job_records starts{.submission = records.submission};
        for (std::uint32_t task = 0; task < call.task_count; ++task) {
            if (task < first_starts) {
                if (const auto attempt = next_attempt(index, records.submission, task)) {
                    starts.starts.push_back({task, *attempt});
                }
            } else {
                at(now_ + duration_ms{draw(50)}, while_running(index, [this, index, records, task] {
                       start(index, records.submission, task);
                   }));
            }
        }
        if (!starts.starts.empty()) {
            append(index, starts, [this, index, starts] {
                for (const auto& item : starts.starts) {
                    run(index, starts.submission, item);
                }
            });
        }
    }

    [[nodiscard]] std::optional<std::uint32_t>
    next_attempt(std::size_t index, const submission_key& submission, std::uint32_t task) const {
        const Table table{*hosts_.at(index).log, simulated_table_settings};
        return table.next_attempt(submission, task);
    }

    /// Wraps an input of a host so that it is lost if the host restarts first.
    std::function<void()> while_running(std::size_t index, std::function<void()> input) {
        return [this, index, incarnation = hosts_.at(index).incarnation, input = std::move(input)] {
            deliver_to_host(index, incarnation, input);
        };
    }

    void start(std::size_t index, const submission_key& submission, std::uint32_t task) {
        const auto attempt = next_attempt(index, submission, task);
        if (!attempt || !hosts_.at(index).jobs.contains(submission)) {
            return;
        }
        const task_start item{task, *attempt};
        append(index, {.submission = submission, .starts = {item}},
               [this, index, submission, item] { run(index, submission, item); });
    }

    /// Runs one attempt, whose outcome is drawn at random.
    void run(std::size_t index, const submission_key& submission, const task_start& item) {
        const auto found = hosts_.at(index).jobs.find(submission);
        if (found == hosts_.at(index).jobs.end()) {
            return;
        }
        const auto [id, content, results] = found->second;
        ++counts_.starts;
        counts_.retries += item.attempt > 1 ? 1 : 0;
        record({.kind = event_kind::start,
                .id = id,
                .content = content,
                .task = item.task,
                .attempt = item.attempt});
        const auto outcome_draw = draw(100);
        const auto spread = static_cast<unsigned>(1 + max_run_time_ms - min_run_time_ms);
        const auto finish = now_ + duration_ms{min_run_time_ms + static_cast<int>(draw(spread))};
        const bool has_failed = outcome_draw < failure_percent;
        if (!has_failed && outcome_draw < failure_percent + loss_percent) {
            return;
        }
        const auto result = std::to_string(++last_run_);
        const auto reply =
            while_running(index, [this, index, submission, item, has_failed, result] {
                finish_task(index, submission, item, has_failed, result);
            });
        at(finish, [this, id = id, item, has_failed, reply] {
            if (has_failed) {
                record({.kind = event_kind::failure,
                        .id = id,
                        .task = item.task,
                        .attempt = item.attempt});
            }
            reply();
        });
    }

    void finish_task(std::size_t index, const submission_key& submission, const task_start& item,
                     bool has_failed, const std::string& result) {
        const auto found = hosts_.at(index).jobs.find(submission);
        if (found == hosts_.at(index).jobs.end()) {
            return;
        }
        auto& job = found->second;
        const bool may_retry = has_failed && chance(70);
        job_records records{.submission = submission};
        records.ends.push_back(
            {item.task, item.attempt,
             has_failed ? core::outcome_class::failed : core::outcome_class::answered, may_retry});
        if (has_failed && !may_retry) {
            records.end = job_end{.outcome = core::outcome_class::failed};
        }
        if (!has_failed) {
            job.results.at(item.task) = result;
            if (std::ranges::none_of(job.results, &std::string::empty)) {
                records.end = job_end{core::outcome_class::answered, "", job.results, true};
            }
        }
        if (may_retry) {
            record({.kind = event_kind::retry,
                    .id = job.id,
                    .task = item.task,
                    .attempt = item.attempt});
        }
        append(index, records, [this, id = job.id, end = records.end] {
            if (end && end->outcome == core::outcome_class::answered) {
                ++counts_.answers;
                record({.kind = event_kind::answer, .id = id, .answer = join(end->results)});
            }
        });
        if (may_retry) {
            start(index, submission, item.task);
        }
    }

    void refuse(const simulated_call& call) {
        ++counts_.refusals;
        record(
            {.kind = event_kind::refusal, .id = core::to_string(call.id), .content = call.content});
    }

    void record(event item) { events_.push_back(std::move(item)); }

    [[nodiscard]] static content_digest digest(const std::string& content) {
        return {.low = std::hash<std::string>{}(content), .high = 1};
    }
    [[nodiscard]] static std::string join(std::span<const std::string> results) {
        std::string text;
        for (const auto& result : results) {
            text += result + ",";
        }
        return text;
    }

    std::mt19937_64 random_;
    network_settings network_;
    time_ms now_{};
    std::uint64_t next_event_ = 0;
    std::map<std::pair<time_ms, std::uint64_t>, std::function<void()>> schedule_;
    std::array<simulated_host, host_count> hosts_;
    std::array<simulated_replica, replica_count> replicas_;
    std::array<std::array<time_ms, replica_count>, host_count> cut_until_{};
    history events_;
    run_counts counts_;
    std::optional<submission_verdict> last_verdict_;
    generation_number last_generation_ = 0;
    int last_key_ = 0;
    int last_run_ = 0;
};

} // namespace hawthornstall::journal::testing
