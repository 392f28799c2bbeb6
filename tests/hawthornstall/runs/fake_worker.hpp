#pragma once

/// Stand-in for a worker on a virtual clock: leases, fencing tokens, ends and barred runs.

#include "hawthornstall/runs/target_call.hpp"

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace hawthornstall::runs {

/// Keeps the promises that a session relies on and records what a session must never do.
class fake_worker {
public:
    fake_worker(core::room capacity, core::duration_ms run_time, std::int64_t clock_offset = 0)
        : capacity_(capacity), run_time_(run_time), clock_offset_(clock_offset) {}

    call_answer carry_out(const target_call& call, core::time_ms now) {
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

    /// A new life at the same address: nothing of before is known.
    void restart() {
        running_.clear();
        ended_.clear();
        barred_.clear();
        token_ = 0;
        last_end_ = 0;
        lease_end_ = 0;
        ++incarnation;
    }

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

    std::uint64_t incarnation = 1;
    core::room task_room{.cpu_millis = 27'000};
    bool over_capacity = false; ///< More ran than fits.
    std::set<task_name> done;
    int starts_after_done = 0;

private:
    [[nodiscard]] std::int64_t clock(core::time_ms now) const {
        return core::to_count(now) + clock_offset_;
    }

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
        const auto barred = barred_.find(call.run.task);
        const bool is_old = barred != barred_.end() && call.run.number <= barred->second;
        if (is_late || is_old) {
            answer.fault = call_fault::rejected;
            answer.reason = is_late ? "late" : "old";
            return;
        }
        starts_after_done += done.contains(call.run.task) ? 1 : 0;
        running_[call.run] = now + run_time_;
        const auto used = static_cast<std::int64_t>(running_.size()) * task_room.cpu_millis;
        over_capacity = over_capacity || used > capacity_.cpu_millis;
    }

    void handle(const stop_call& call, call_answer& /*answer*/, core::time_ms /*now*/) {
        bar(call.run);
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

    void bar(const run_name& run) {
        auto& highest = barred_[run.task];
        highest = std::max(highest, run.number);
    }

    void end(const run_name& run, run_end how) {
        bar(run);
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

    core::room capacity_;
    core::duration_ms run_time_;
    std::int64_t clock_offset_;
    std::uint64_t token_ = 0;
    std::uint64_t last_end_ = 0;
    std::int64_t lease_end_ = 0;
    std::map<run_name, core::time_ms> running_;
    std::map<task_name, std::uint32_t> barred_;
    std::vector<listed_end> ended_;
};

} // namespace hawthornstall::runs
