#pragma once

/// Stage of an owner that tells a new job from one that is under way or has ended.

#include "hawthornstall/core/job.hpp"
#include "hawthornstall/entry/admission_stage.hpp"
#include "hawthornstall/entry/open_jobs.hpp"
#include "hawthornstall/journal/submission_table.hpp"

#include <cstdint>
#include <string>
#include <variant>

namespace hawthornstall::entry {

/// The same submission is under way: its answer goes to this caller too.
struct joined_job {
    std::uint64_t number = 0;
};

/// The journal rules out that the submission runs.
struct recorded_job {
    core::job_answer answer;
};

/// The job is to be queued.
struct new_job {
    open_job job;
    bool was_registered =
        false; ///< An earlier owner has registered it; all its attempts may be repeated.
};

using deduplicated_job = std::variant<joined_job, recorded_job, new_job>;

/// Pure. Asked only while the owner serves, or for requests without an identifier.
class deduplicate_stage {
public:
    /// `host_prefix` makes the names of requests without an identifier unique.
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
