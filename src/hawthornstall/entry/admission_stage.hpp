#pragma once

/// Stage of an owner that decides what happens to a job on arrival, and keeps those that wait.

#include "hawthornstall/core/job.hpp"
#include "hawthornstall/core/ms_clock.hpp"
#include "hawthornstall/entry/reply_address.hpp"

#include <cstddef>
#include <cstdint>
#include <utility>
#include <vector>

namespace hawthornstall::entry {

/// A job that arrived, with the time by which its caller wants the answer.
struct arrived_job {
    core::job_request request{};
    reply_address reply_to{};
    core::time_ms deadline{};
};

/// What an owner can do at the moment.
struct owner_state {
    bool is_draining = false;
    bool lacks_ownership = false; ///< It neither owns the journal nor takes ownership.
    bool is_serving = false;      ///< The journal is owned and has a quorum.
    bool scheduler_is_outdated = false;
};

enum class admission_decision : std::uint8_t {
    admit,
    wait,     ///< Until the owner serves.
    redirect, ///< Another host owns the service, or will.
};

/// Pure.
class admission_stage {
public:
    /// `is_open` tells that an earlier submission of the job is under way here.
    [[nodiscard]] admission_decision decide(const core::job_request& request, bool is_open,
                                            const owner_state& owner) const;

    void add(arrived_job job) { waiting_.push_back(std::move(job)); }

    /// Takes out all jobs, since the owner serves now or never will.
    [[nodiscard]] std::vector<arrived_job> take_all() { return std::exchange(waiting_, {}); }

    /// Takes out the jobs whose deadline has passed.
    [[nodiscard]] std::vector<arrived_job> take_expired(core::time_ms now);

private:
    std::vector<arrived_job> waiting_;
};

} // namespace hawthornstall::entry
