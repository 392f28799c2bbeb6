#pragma once

/// Messages by which entry hosts hand jobs to the owner of a shard.

#include "hawthornstall/core/job.hpp"

#include <cstdint>
#include <string>

namespace hawthornstall::entry {

/// Asks the owner of the job's service in `zone` to run the job. `job.deadline` holds the time that
/// is left, so that clocks need not agree.
struct forward_job {
    std::uint64_t number = 0; ///< Chosen by the sender; repeated in the answer.
    std::string zone;
    core::job_request job;
};

/// The end of a forwarded job.
struct job_done {
    std::uint64_t number = 0;
    core::job_answer answer;
};

/// The receiver does not own the shard (yet); nothing ran. The sender tries again.
struct not_owner {
    std::uint64_t number = 0;
};

} // namespace hawthornstall::entry
