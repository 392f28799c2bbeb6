#pragma once

/// Target at the interface of the policies: it runs, queues, refuses, fails or loses tasks.

#include "policy/workload.hpp"

#include <algorithm>
#include <cstdint>
#include <deque>
#include <optional>

namespace hawthornstall::policy_bench {

/// What a target does with a task that reaches it.
enum class reception : std::uint8_t { runs, queues, refuses, fails, silent };

class fake_target {
public:
    fake_target(const target_plan& plan, bool queues) : plan_(plan), queues_(queues) {}

    /// Brings the planned faults into force.
    void begin_fault() {
        failing_ = plan_.fails;
        lost_ = plan_.lost;
        constexpr double straggler_speed = 0.1;
        speed_factor_ = plan_.straggles ? straggler_speed : 1.0;
    }

    [[nodiscard]] reception receive(std::uint64_t attempt) {
        if (lost_) {
            return reception::silent;
        }
        if (failing_) {
            return reception::fails;
        }
        if (running_ < plan_.slots) {
            ++running_;
            return reception::runs;
        }
        if (!queues_) {
            return reception::refuses;
        }
        waiting_.push_back(attempt);
        return reception::queues;
    }

    /// Ends a running task. Returns the queued attempt that takes its slot.
    [[nodiscard]] std::optional<std::uint64_t> end_task() {
        if (waiting_.empty()) {
            --running_;
            return std::nullopt;
        }
        const auto next = waiting_.front();
        waiting_.pop_front();
        return next;
    }

    void drop_waiting(std::uint64_t attempt) {
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
    bool queues_;
    std::uint32_t running_ = 0;
    std::deque<std::uint64_t> waiting_;
    bool failing_ = false;
    bool lost_ = false;
    double speed_factor_ = 1.0;
};

} // namespace hawthornstall::policy_bench
