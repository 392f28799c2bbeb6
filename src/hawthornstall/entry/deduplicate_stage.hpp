#pragma once

/// Pipeline stage of a shard that tells a new job from one that is in progress or has ended.

#include "hawthornstall/core/job.hpp"
#include "hawthornstall/entry/admission_stage.hpp"
#include "hawthornstall/entry/open_jobs.hpp"
#include "hawthornstall/journal/submission_table.hpp"

#include <cstdint>
#include <string>
#include <variant>

namespace hawthornstall::entry {

/// The same submission is in progress: its answer goes to this caller as well.
struct joined_job {
    std::uint64_t number = 0; ///< Number of the open job.
};

/// The submission must not run (again); `answer` follows from the journal's records.
struct recorded_job {
    core::job_answer answer;
};

/// The job has to be queued.
struct new_job {
    open_job job;
    /// An earlier owner has registered the submission; every attempt started so far has failed and
    /// may be repeated. The job is registered again under this epoch, so that its attempt numbers
    /// continue.
    bool was_registered = false;
};

/// Result of deduplicate_stage.
using deduplicated_job = std::variant<joined_job, recorded_job, new_job>;

/// Looks a job up among the open jobs and in the journal. Jobs with an identifier may be passed in
/// only while the owner serves; requests without one always count as new.
class deduplicate_stage {
public:
    /// `host_prefix` makes the generated names of requests without an identifier unique between
    /// hosts and processes. `jobs` and `table` must outlive the stage.
    deduplicate_stage(const open_jobs& jobs, const journal::submission_table& table,
                      std::string host_prefix)
        : jobs_(&jobs), table_(&table), host_prefix_(std::move(host_prefix)) {}

    [[nodiscard]] deduplicated_job operator()(arrived_job arrived, core::time_ms wall_now) const;

private:
    [[nodiscard]] deduplicated_job find_submission(arrived_job arrived,
                                                   core::time_ms wall_now) const;

    const open_jobs* jobs_;
    const journal::submission_table* table_;
    std::string host_prefix_;
};

} // namespace hawthornstall::entry
