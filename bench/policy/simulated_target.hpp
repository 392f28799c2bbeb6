#pragma once

/// A simulated target.

#include "policy/workload.hpp"

#include <algorithm>
#include <cstdint>
#include <deque>
#include <optional>

namespace hawthornstall::policy_bench {

/// What a target does with a task that it receives.
enum class task_reception : std::uint8_t { runs, queues, refuses, fails, silent };

/// Runs tasks on its slots. A full target queues or refuses further tasks. The planned faults make
/// it fail every task, run slowly, or stop replying.
class simulated_target {
public:
    simulated_target(const target_plan& plan, bool queues_when_full)
        : plan_(plan), queues_when_full_(queues_when_full) {}

    /// Makes the planned faults take effect.
    void begin_fault() {
        failing_ = plan_.fails;
        lost_ = plan_.lost;
        constexpr double straggler_speed_factor = 0.1;
        speed_factor_ = plan_.straggles ? straggler_speed_factor : 1.0;
    }

    /// Receives an attempt. If the result is `runs`, it takes a slot until end_task().
    [[nodiscard]] task_reception receive(std::uint64_t attempt) {
        if (lost_) {
            return task_reception::silent;
        }
        if (failing_) {
            return task_reception::fails;
        }
        if (running_ < plan_.slots) {
            ++running_;
            return task_reception::runs;
        }
        if (!queues_when_full_) {
            return task_reception::refuses;
        }
        waiting_.push_back(attempt);
        return task_reception::queues;
    }

    /// Ends a running task. Returns the queued attempt that takes its slot, if there is one.
    [[nodiscard]] std::optional<std::uint64_t> end_task() {
        if (waiting_.empty()) {
            --running_;
            return std::nullopt;
        }
        const auto next = waiting_.front();
        waiting_.pop_front();
        return next;
    }

    /// Removes an attempt from the queue; it must be queued.
    void remove_waiting(std::uint64_t attempt) {
        waiting_.erase(std::find(waiting_.begin(), waiting_.end(), attempt));
    }

    [[nodiscard]] virtual_us run_time(double work_ms) const {
        return static_cast<virtual_us>(work_ms / (plan_.speed * speed_factor_) * us_per_ms);
    }

    [[nodiscard]] bool lost() const { return lost_; }
    [[nodiscard]] bool will_be_lost() const { return plan_.lost; }
    [[nodiscard]] bool full() const { return running_ >= plan_.slots; }

private:
    target_plan plan_;
    bool queues_when_full_;
    std::uint32_t running_ = 0;
    std::deque<std::uint64_t> waiting_;
    bool failing_ = false;
    bool lost_ = false;
    double speed_factor_ = 1.0;
};

} // namespace hawthornstall::policy_bench
