#pragma once

/// Fake worker on a virtual clock, with leases, fencing tokens, run ends and blocked runs.

#include "hawthornstall/runs/target_call.hpp"

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace hawthornstall::runs {

/// Behaves as a session may expect of a worker, and records violations by the session: runs beyond
/// the capacity, and starts of tasks that are done.
class fake_worker {
public:
    /// The worker's clock advances by `clock_rate` ms per millisecond.
    fake_worker(core::resources capacity, core::duration_ms run_time, std::int64_t clock_offset = 0,
                double clock_rate = 1.0)
        : capacity_(capacity), run_time_(run_time), clock_offset_(clock_offset),
          clock_rate_(clock_rate) {}

    /// Executes a call at `now` and returns its answer.
    call_answer execute(const target_call& call, core::time_ms now) {
        advance(now);
        call_answer answer;
        answer.clock_ms = clock(now);
        if (call.fencing_token < token_) {
            answer.fault = call_fault::fenced;
            answer.reason = "fence";
            return answer;
        }
        token_ = call.fencing_token;
        std::visit([&](const auto& request) { handle(request, answer, now); }, call.request);
        return answer;
    }

    /// Starts a new incarnation at the same address, without any earlier state.
    void restart() {
        running_.clear();
        ended_.clear();
        blocked_.clear();
        token_ = 0;
        last_end_ = 0;
        lease_end_ = 0;
        ++incarnation;
    }

    /// As restart(); the clock of the new incarnation starts anew as well.
    void restart_at(core::time_ms now) {
        restart();
        clock_offset_ -= clock(now);
    }

    /// Ends the runs that are done or whose lease has expired at `now`.
    void advance(core::time_ms now) {
        if (clock(now) > lease_end_) {
            end_all(run_end::lapsed);
        }
        for (auto item = running_.begin(); item != running_.end();) {
            if (now < item->second) {
                ++item;
                continue;
            }
            end(item->first, run_end::done);
            item = running_.erase(item);
        }
    }

    [[nodiscard]] std::vector<run_name> running() const {
        std::vector<run_name> names;
        for (const auto& [name, until] : running_) {
            names.push_back(name);
        }
        return names;
    }

    /// The worker's clock at `now`.
    [[nodiscard]] std::int64_t clock(core::time_ms now) const {
        return static_cast<std::int64_t>(clock_rate_ * static_cast<double>(core::to_count(now))) +
               clock_offset_;
    }

    std::uint64_t incarnation = 1;
    core::resources task_resources{.cpu_millis = 27'000};
    bool over_capacity = false; ///< Whether runs have ever exceeded the capacity.
    std::set<task_name> done;
    int starts_after_done = 0; ///< Starts of tasks that were done already.

private:
    void renew(std::int64_t until, core::time_ms now) {
        constexpr std::int64_t longest_lease = 1'000;
        lease_end_ = std::max(lease_end_, std::min(until, clock(now) + longest_lease));
    }

    void handle(const start_call& call, call_answer& answer, core::time_ms now) {
        renew(call.lease_until_ms, now);
        if (running_.contains(call.run)) {
            return;
        }
        const bool is_late = call.lease_until_ms < clock(now);
        const auto blocked = blocked_.find(call.run.task);
        const bool is_blocked = blocked != blocked_.end() && call.run.number <= blocked->second;
        if (is_late || is_blocked) {
            answer.fault = call_fault::rejected;
            answer.reason = is_late ? "late" : "old";
            return;
        }
        starts_after_done += done.contains(call.run.task) ? 1 : 0;
        running_[call.run] = now + run_time_;
        const auto used = static_cast<std::int64_t>(running_.size()) * task_resources.cpu_millis;
        over_capacity = over_capacity || used > capacity_.cpu_millis;
    }

    void handle(const stop_call& call, call_answer& /*answer*/, core::time_ms /*now*/) {
        block(call.run);
        if (running_.erase(call.run) > 0) {
            end(call.run, run_end::stopped);
        }
    }

    void handle(const list_call& call, call_answer& answer, core::time_ms now) {
        if (call.lease_until_ms) {
            renew(*call.lease_until_ms, now);
        }
        std::erase_if(ended_,
                      [&](const listed_end& item) { return item.number <= call.ends_seen; });
        answer.listing = {.incarnation = incarnation, .running = running(), .ended = ended_};
    }

    /// Prevents this and earlier runs of the task from starting.
    void block(const run_name& run) {
        auto& highest = blocked_[run.task];
        highest = std::max(highest, run.number);
    }

    void end(const run_name& run, run_end how) {
        block(run);
        ended_.push_back({.number = ++last_end_, .run = run, .end = how});
        if (how == run_end::done) {
            done.insert(run.task);
        }
    }

    void end_all(run_end how) {
        for (const auto& [run, until] : running_) {
            end(run, how);
        }
        running_.clear();
    }

    core::resources capacity_;
    core::duration_ms run_time_;
    std::int64_t clock_offset_;
    double clock_rate_;
    std::uint64_t token_ = 0;
    std::uint64_t last_end_ = 0;
    std::int64_t lease_end_ = 0;
    std::map<run_name, core::time_ms> running_;
    std::map<task_name, std::uint32_t> blocked_;
    std::vector<listed_end> ended_;
};

} // namespace hawthornstall::runs
