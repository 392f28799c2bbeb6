#pragma once

/// Messages by which entry hosts forward jobs to the owner of a shard.

#include "hawthornstall/core/job.hpp"

#include <cstdint>
#include <string>

namespace hawthornstall::entry {

/// Asks the owner of the job's service in `zone` to run the job. `job.deadline` holds the remaining
/// time, so that the hosts' clocks need not agree.
struct forward_job {
    std::uint64_t number = 0; ///< Chosen by the sender; repeated in the answer.
    std::string zone;
    core::job_request job;
};

/// Answer to forward_job: how the job ended.
struct job_done {
    std::uint64_t number = 0; ///< As in forward_job.
    core::job_answer answer;
};

/// Answer to forward_job: the receiver does not own the shard (yet) and has started no task of the
/// job. The sender forwards it again later.
struct not_owner {
    std::uint64_t number = 0; ///< As in forward_job.
};

} // namespace hawthornstall::entry
