#pragma once

/// A job that the owner of a shard is running.

#include "hawthornstall/core/job.hpp"
#include "hawthornstall/entry/reply_address.hpp"
#include "hawthornstall/journal/records.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace hawthornstall::entry {

/// Kept from the job's admission until its answer has been given.
struct open_job {
    core::job_request request;
    std::string id_text; ///< Submission identifier, or a name that is unique to this host.
    std::optional<journal::submission_key> submission; ///< Empty for a request without journal.
    journal::content_digest digest;
    std::vector<reply_address> waiters;
    std::vector<std::string> results; ///< One per task, filled as tasks are answered.
    core::time_ms deadline{};
    bool started = false;                 ///< An attempt was decided.
    bool registered = false;              ///< Its first records were appended.
    std::uint64_t start_append = 0;       ///< Append with the first attempts of all tasks.
    std::vector<bool> first_attempt_used; ///< One per task: the recorded first attempt is taken.
    std::optional<core::job_answer> end;  ///< Decided, waits for the journal.
};

} // namespace hawthornstall::entry
