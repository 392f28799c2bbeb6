#pragma once

/// Pipeline stage of a shard that admits, queues or redirects each job that arrives.

#include "hawthornstall/core/job.hpp"
#include "hawthornstall/core/ms_clock.hpp"
#include "hawthornstall/entry/reply_address.hpp"

#include <cstddef>
#include <cstdint>
#include <utility>
#include <vector>

namespace hawthornstall::entry {

/// A job as it reaches the owner of its shard.
struct arrived_job {
    core::job_request request{};
    reply_address reply_to{};
    core::time_ms deadline{}; ///< On the monotonic clock of this process.
};

/// Current state of the owner, as far as it affects admission.
struct owner_state {
    bool is_draining = false;
    bool journal_is_idle = false;       ///< The journal is neither owned nor being taken.
    bool is_serving = false;            ///< The journal is owned and accepts appends.
    bool scheduler_is_outdated = false; ///< The document needs another scheduler.
};

/// What happens to a job on arrival.
enum class admission_decision : std::uint8_t {
    admit,
    /// Kept until ownership is taken or the scheduler is replaced, or until its deadline.
    wait,
    redirect, ///< Returned to its sender, which asks another host.
};

/// Decides on admission and holds the jobs that wait. Does no I/O and reads no clock.
class admission_stage {
public:
    /// Decides about one job. `is_open` tells that this owner already runs the same submission.
    [[nodiscard]] admission_decision decide(const core::job_request& request, bool is_open,
                                            const owner_state& owner) const;

    /// Adds a job that has to wait.
    void add(arrived_job job) { waiting_.push_back(std::move(job)); }

    /// Removes and returns all waiting jobs.
    [[nodiscard]] std::vector<arrived_job> take_all() { return std::exchange(waiting_, {}); }

    /// Removes and returns the waiting jobs whose deadline has passed.
    [[nodiscard]] std::vector<arrived_job> take_expired(core::time_ms now);

private:
    std::vector<arrived_job> waiting_;
};

} // namespace hawthornstall::entry
