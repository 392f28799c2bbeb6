#pragma once

/// Events of the simulation in order of virtual time.

#include "hawthornstall/scheduling/ids.hpp"
#include "policy/workload.hpp"

#include <cstdint>
#include <queue>
#include <vector>

namespace hawthornstall::policy_bench {

enum class event_kind : std::uint8_t {
    job_arrives,   ///< Job `index` reaches the owner.
    journal_acks,  ///< The journal acknowledges the append in flight.
    task_arrives,  ///< `attempt` reaches its target.
    task_ends,     ///< `attempt` ends at its target.
    reply_arrives, ///< The reply for `attempt` reaches the owner.
    stop_arrives,  ///< The stop for `attempt` reaches its target.
    timer,         ///< The policy is due to be called again.
    fault_begins,  ///< The faults of the workload take effect.
    loss_detected, ///< The owner detects the lost targets and removes them.
};

struct event {
    virtual_us at = 0;
    std::uint64_t sequence = 0; ///< Orders events of the same time by creation.
    event_kind kind = event_kind::timer;
    std::uint32_t index = 0;
    std::uint64_t attempt = 0; ///< Serial number of the attempt within the run.
};

/// Priority queue of events; the earliest one comes first.
class event_queue {
public:
    void push(virtual_us at, event_kind kind, std::uint32_t index = 0, std::uint64_t attempt = 0) {
        events_.push({at, next_sequence_++, kind, index, attempt});
    }

    [[nodiscard]] bool empty() const { return events_.empty(); }

    event pop() {
        const auto first = events_.top();
        events_.pop();
        return first;
    }

private:
    struct later {
        bool operator()(const event& left, const event& right) const {
            return left.at != right.at ? left.at > right.at : left.sequence > right.sequence;
        }
    };

    std::priority_queue<event, std::vector<event>, later> events_;
    std::uint64_t next_sequence_ = 0;
};

} // namespace hawthornstall::policy_bench
