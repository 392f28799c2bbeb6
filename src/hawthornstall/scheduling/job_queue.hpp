#pragma once

/// The queue of one service in one zone.

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

/// Jobs with pending tasks, by team and by the key of the order. All operations cost
/// O(log jobs + log teams); nothing depends on the number of queued tasks.
template <queue_order Order> class job_queue {
public:
    explicit job_queue(Order order = {}) : order_(order) {}

    /// Number of the team, new on first use.
    [[nodiscard]] team_id intern_team(std::string_view name) {
        const auto [found, added] =
            numbers_.try_emplace(std::string{name}, static_cast<team_id>(teams_.size()));
        if (added) {
            teams_.emplace_back();
        }
        return found->second;
    }

    /// Queues `job`, or moves it after a change of its tasks. A job without pending tasks leaves.
    void update(job_state& job) {
        remove(job);
        if (job.pending() == 0) {
            return;
        }
        auto& team = at(job.team);
        const auto key = order_.job_key({job.arrival, job.remaining(), job.urgent});
        job.queue_key = key;
        if (team.jobs.empty()) {
            // A team that was idle starts level with the others; it does not save up service.
            team.served_ms = std::max(team.served_ms, served_floor_ms_);
        }
        team.jobs.insert({key, job.sequence, &job});
        count(job, job.pending());
        rank(job.team);
    }

    /// Takes `job` out; nothing happens when it is not queued.
    void remove(job_state& job) {
        if (!job.queue_key) {
            return;
        }
        auto& team = at(job.team);
        team.jobs.erase({*job.queue_key, job.sequence, &job});
        count(job, -static_cast<std::int64_t>(job.queued_tasks));
        job.queue_key.reset();
        rank(job.team);
    }

    /// The job that gets the next start, null when none may start.
    [[nodiscard]] job_state* front() const {
        return ranking_.empty() ? nullptr : teams_[ranking_.begin()->second].jobs.begin()->job;
    }

    /// A job that is far from its next start, null when none may start. It may be front().
    [[nodiscard]] job_state* back() const {
        return ranking_.empty() ? nullptr : teams_[ranking_.rbegin()->second].jobs.rbegin()->job;
    }

    /// Takes the next task of `job` out, for a start that is expected to run `expected_ms`; of
    /// tasks that never started, the shortest or the longest one.
    returned_task take_task(job_state& job, double expected_ms, bool shortest = false) {
        auto& team = at(job.team);
        const auto task = job.front(shortest);
        job.pop_front(shortest);
        count(job, -1);
        served_floor_ms_ = std::max(served_floor_ms_, team.served_ms);
        team.served_ms += std::max<std::int64_t>(1, static_cast<std::int64_t>(expected_ms));
        ++team.running;
        if (job.pending() == 0) {
            team.jobs.erase({*job.queue_key, job.sequence, &job});
            job.queue_key.reset();
        }
        rank(job.team);
        return task;
    }

    /// Counts the end of an attempt of `team`.
    void end_attempt(team_id team) {
        --at(team).running;
        rank(team);
    }

    /// Most attempts that one team may have in flight.
    void set_team_limit(std::uint32_t limit) {
        if (limit == team_limit_) {
            return;
        }
        team_limit_ = limit;
        for (std::size_t index = 0; index < teams_.size(); ++index) {
            rank(static_cast<team_id>(index));
        }
    }

    /// Counts an attempt that does not come from the queue (a hedge).
    void begin_attempt(team_id team) {
        ++at(team).running;
        rank(team);
    }

    [[nodiscard]] std::uint64_t pending() const { return pending_; }
    /// Expected run time of all pending tasks at speed 1.
    [[nodiscard]] std::int64_t pending_work_ms() const { return pending_work_ms_; }
    [[nodiscard]] std::uint64_t pending_of(team_id team) const {
        return teams_[static_cast<std::size_t>(team)].pending;
    }

    /// How long later jobs may still overtake a new one.
    [[nodiscard]] std::int64_t overtaking_window_ms(const job_ranking& ranking) const {
        return order_.job_key(ranking) - core::to_count(ranking.arrival);
    }

    /// Expected run time in ms of the pending tasks that go before the tasks of a new job, up to
    /// the width of a bin.
    [[nodiscard]] std::int64_t work_ahead_ms(team_id team, const job_ranking& ranking) const {
        if constexpr (Order::shares_by_team) {
            const auto& own = teams_[static_cast<std::size_t>(team)];
            const auto teams = static_cast<std::int64_t>(ranking_.size());
            return std::min(pending_work_ms_,
                            own.pending_work_ms * std::max<std::int64_t>(1, teams));
        } else {
            std::int64_t sum = 0;
            const auto end = bins_.upper_bound(bin(order_.job_key(ranking)));
            for (auto at = bins_.begin(); at != end; ++at) {
                sum += at->second;
            }
            return sum;
        }
    }

private:
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
        std::uint32_t running = 0;
        std::int64_t served_ms = 0;
        std::optional<std::int64_t> rank; ///< Key in `ranking_`; empty when not ranked.
    };

    /// Width of a bin of keys. With keys within a minute there are at most a few hundred bins.
    static constexpr std::int64_t bin_ms = 256;
    static std::int64_t bin(std::int64_t key) { return key / bin_ms; }

    team_state& at(team_id team) { return teams_[static_cast<std::size_t>(team)]; }

    void count(job_state& job, std::int64_t change) {
        job.queued_tasks += static_cast<std::uint32_t>(change);
        pending_ += static_cast<std::uint64_t>(change);
        at(job.team).pending += static_cast<std::uint64_t>(change);
        const auto change_ms = change * job.task_work_ms;
        pending_work_ms_ += change_ms;
        at(job.team).pending_work_ms += change_ms;
        const auto found = bins_.try_emplace(bin(*job.queue_key)).first;
        found->second += change_ms;
        if (found->second == 0) {
            bins_.erase(found);
        }
    }

    void rank(team_id id) {
        auto& team = at(id);
        const auto index = static_cast<std::uint32_t>(id);
        const bool eligible = !team.jobs.empty() && team.running < team_limit_;
        const auto key =
            eligible ? std::optional{order_.team_key(team.jobs.begin()->key, team.served_ms)}
                     : std::nullopt;
        if (key == team.rank) {
            return;
        }
        if (team.rank) {
            ranking_.erase({*team.rank, index});
        }
        if (key) {
            ranking_.insert({*key, index});
        }
        team.rank = key;
    }

    Order order_;
    std::vector<team_state> teams_;
    std::unordered_map<std::string, team_id> numbers_;
    std::set<std::pair<std::int64_t, std::uint32_t>> ranking_;
    std::map<std::int64_t, std::int64_t> bins_; ///< Expected ms by bin of keys.
    std::uint64_t pending_ = 0;
    std::int64_t pending_work_ms_ = 0;
    std::int64_t served_floor_ms_ = 0;
    std::uint32_t team_limit_ = UINT32_MAX;
};

} // namespace hawthornstall::scheduling
