#pragma once

/// The queue of the pending tasks of one service in one zone.

#include "hawthornstall/scheduling/job_state.hpp"
#include "hawthornstall/scheduling/queue_order.hpp"

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <tuple>
#include <unordered_map>

namespace hawthornstall::scheduling {

/// Jobs with pending tasks. Each team has its jobs sorted by the job key of `Order`, and the teams
/// that may start a task are sorted by their team key. Operations on a job cost
/// O(log jobs + log teams), whatever the number of its pending tasks.
template <queue_order Order> class job_queue {
public:
    explicit job_queue(Order order = {}) : order_(order) {}

    /// Returns the identifier of the team and assigns one on first use.
    [[nodiscard]] team_id intern_team(std::string_view name) {
        const auto [found, added] =
            team_ids_.try_emplace(std::string{name}, static_cast<team_id>(teams_.size()));
        if (added) {
            teams_.emplace_back();
        }
        return found->second;
    }

    /// Queues `job`, or updates its position after its tasks or its urgency have changed. A job
    /// without pending tasks is removed.
    void update(job_state& job) {
        remove(job);
        if (job.pending() == 0) {
            return;
        }
        auto& team = at(job.team);
        const auto key = order_.job_key({job.arrival, job.remaining(), job.urgent});
        job.queue_key = key;
        if (team.jobs.empty()) {
            // A team that was idle starts at the current virtual time: it gets no credit for the
            // time in which it had no pending tasks.
            team.served_ms = std::max(team.served_ms, virtual_time_ms_);
        }
        team.jobs.insert({key, job.sequence, &job});
        adjust_counts(job, job.pending());
        update_eligibility(job.team);
    }

    /// Removes `job` if it is queued.
    void remove(job_state& job) {
        if (!job.queue_key) {
            return;
        }
        auto& team = at(job.team);
        team.jobs.erase({*job.queue_key, job.sequence, &job});
        adjust_counts(job, -static_cast<std::int64_t>(job.counted_pending));
        job.queue_key.reset();
        update_eligibility(job.team);
    }

    /// The job whose task starts next; null if no job may start a task.
    [[nodiscard]] job_state* front() const {
        return eligible_teams_.empty() ? nullptr
                                       : teams_[eligible_teams_.begin()->second].jobs.begin()->job;
    }

    /// The last job of the last team: a job that would wait long for its next start. It may be the
    /// same as front(); null if no job may start a task.
    [[nodiscard]] job_state* back() const {
        return eligible_teams_.empty()
                   ? nullptr
                   : teams_[eligible_teams_.rbegin()->second].jobs.rbegin()->job;
    }

    /// Removes the next task of `job` from the queue and charges its team with a running attempt
    /// and with `expected_ms` of run time. A requeued task goes first, then the longest task that
    /// never started, or the shortest one if `shortest` is set.
    pending_task take_task(job_state& job, double expected_ms, bool shortest = false) {
        auto& team = at(job.team);
        const auto task = job.front(shortest);
        job.pop_front(shortest);
        adjust_counts(job, -1);
        virtual_time_ms_ = std::max(virtual_time_ms_, team.served_ms);
        team.served_ms += std::max<std::int64_t>(1, static_cast<std::int64_t>(expected_ms));
        ++team.running;
        if (job.pending() == 0) {
            team.jobs.erase({*job.queue_key, job.sequence, &job});
            job.queue_key.reset();
        }
        update_eligibility(job.team);
        return task;
    }

    /// Counts an attempt of `team` as ended.
    void end_attempt(team_id team) {
        --at(team).running;
        update_eligibility(team);
    }

    /// Sets how many attempts each team may have in flight. Teams at the limit are passed over.
    void set_team_limit(std::uint32_t limit) {
        if (limit == team_limit_) {
            return;
        }
        team_limit_ = limit;
        for (std::size_t index = 0; index < teams_.size(); ++index) {
            update_eligibility(static_cast<team_id>(index));
        }
    }

    /// Counts an attempt of `team` that did not come from the queue: a hedge.
    void begin_attempt(team_id team) {
        ++at(team).running;
        update_eligibility(team);
    }

    /// Number of pending tasks of all jobs.
    [[nodiscard]] std::uint64_t pending() const { return pending_; }
    /// Expected run time of all pending tasks on a slot of speed 1.
    [[nodiscard]] std::int64_t pending_work_ms() const { return pending_work_ms_; }
    /// Number of pending tasks of one team.
    [[nodiscard]] std::uint64_t pending_of(team_id team) const {
        return teams_[static_cast<std::size_t>(team)].pending;
    }

    /// How much later than a new job another one may arrive and still start first, at most.
    [[nodiscard]] std::int64_t overtaking_window_ms(const job_ranking& ranking) const {
        return order_.job_key(ranking) - core::to_count(ranking.arrival);
    }

    /// Expected run time, on a slot of speed 1, of the pending tasks that start before those of a
    /// new job. Keys are compared in steps of 256 ms (`bin_width_ms`): jobs in the same step as the
    /// new one count as ahead of it. If the order shares run time between teams, each team with
    /// startable jobs is assumed to get as much run time as the team of the job.
    [[nodiscard]] std::int64_t work_ahead_ms(team_id team, const job_ranking& ranking) const {
        if constexpr (Order::shares_by_team) {
            const auto& own = teams_[static_cast<std::size_t>(team)];
            const auto teams = static_cast<std::int64_t>(eligible_teams_.size());
            return std::min(pending_work_ms_,
                            own.pending_work_ms * std::max<std::int64_t>(1, teams));
        } else {
            std::int64_t sum = 0;
            const auto end = pending_work_by_bin_.upper_bound(bin_of(order_.job_key(ranking)));
            for (auto at = pending_work_by_bin_.begin(); at != end; ++at) {
                sum += at->second;
            }
            return sum;
        }
    }

private:
    /// A queued job, sorted by its key and then by its arrival.
    struct entry {
        std::int64_t key = 0;
        std::uint64_t sequence = 0;
        job_state* job = nullptr;

        bool operator<(const entry& other) const {
            return std::tie(key, sequence) < std::tie(other.key, other.sequence);
        }
    };

    struct team_state {
        std::set<entry> jobs;
        std::uint64_t pending = 0;
        std::int64_t pending_work_ms = 0;
        std::uint32_t running = 0; ///< Attempts in flight.
        /// Expected run time of the tasks that it has started; raised to the virtual time when the
        /// team was idle.
        std::int64_t served_ms = 0;
        std::optional<std::int64_t> eligible_key; ///< Key in `eligible_teams_`; empty if not in it.
    };

    /// Width of a bin of job keys. If all keys lie within a minute, a sum over the bins visits at
    /// most a few hundred of them.
    static constexpr std::int64_t bin_width_ms = 256;
    static std::int64_t bin_of(std::int64_t key) { return key / bin_width_ms; }

    team_state& at(team_id team) { return teams_[static_cast<std::size_t>(team)]; }

    /// Adds `change` pending tasks of `job`, which must be queued, to all sums.
    void adjust_counts(job_state& job, std::int64_t change) {
        job.counted_pending += static_cast<std::uint32_t>(change);
        pending_ += static_cast<std::uint64_t>(change);
        at(job.team).pending += static_cast<std::uint64_t>(change);
        const auto change_ms = change * job.task_work_ms;
        pending_work_ms_ += change_ms;
        at(job.team).pending_work_ms += change_ms;
        const auto found = pending_work_by_bin_.try_emplace(bin_of(*job.queue_key)).first;
        found->second += change_ms;
        if (found->second == 0) {
            pending_work_by_bin_.erase(found);
        }
    }

    /// Adds, moves or removes a team in `eligible_teams_` after its jobs or attempts have changed.
    void update_eligibility(team_id id) {
        auto& team = at(id);
        const auto index = static_cast<std::uint32_t>(id);
        const bool eligible = !team.jobs.empty() && team.running < team_limit_;
        const auto key =
            eligible ? std::optional{order_.team_key(team.jobs.begin()->key, team.served_ms)}
                     : std::nullopt;
        if (key == team.eligible_key) {
            return;
        }
        if (team.eligible_key) {
            eligible_teams_.erase({*team.eligible_key, index});
        }
        if (key) {
            eligible_teams_.insert({*key, index});
        }
        team.eligible_key = key;
    }

    Order order_;
    std::vector<team_state> teams_;
    std::unordered_map<std::string, team_id> team_ids_;
    /// Teams that have pending tasks and are below the limit, by team key.
    std::set<std::pair<std::int64_t, std::uint32_t>> eligible_teams_;
    /// Expected run time in ms of the pending tasks, by bin of job keys.
    std::map<std::int64_t, std::int64_t> pending_work_by_bin_;
    std::uint64_t pending_ = 0;
    std::int64_t pending_work_ms_ = 0;
    /// Virtual time of fair queueing: the largest `served_ms` of a team at a start so far.
    std::int64_t virtual_time_ms_ = 0;
    std::uint32_t team_limit_ = UINT32_MAX;
};

} // namespace hawthornstall::scheduling
