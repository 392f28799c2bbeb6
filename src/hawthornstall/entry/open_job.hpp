#pragma once

/// A job that the owner of a shard runs.

#include "hawthornstall/core/job.hpp"
#include "hawthornstall/entry/reply_address.hpp"
#include "hawthornstall/journal/records.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace hawthornstall::entry {

/// State of a job from its admission until its answer is sent.
struct open_job {
    core::job_request request;
    std::string id_text; ///< Submission identifier, or a generated name that is unique.
    std::optional<journal::submission_key> submission; ///< Empty if the journal is not used.
    journal::content_digest digest;
    std::vector<reply_address> waiters; ///< All callers that get the answer.
    std::vector<std::string> results;   ///< One per task, filled as tasks are answered.
    core::time_ms deadline{};
    bool started = false;    ///< The scheduler has started an attempt.
    bool registered = false; ///< Its first records are appended or about to be.
    /// Sequence number of the append with the first start records; 0 before.
    std::uint64_t start_sequence = 0;
    std::vector<bool> first_attempt_used; ///< One per task: attempt number 1 is taken.
    std::optional<core::job_answer> end;  ///< Decided, but its record is not committed yet.
};

} // namespace hawthornstall::entry
