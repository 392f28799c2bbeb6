#pragma once

/// Records that the journal keeps about submissions.

#include "hawthornstall/core/job.hpp"
#include "hawthornstall/core/ms_clock.hpp"
#include "hawthornstall/core/outcome.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

namespace hawthornstall::journal {

/// Grows with each change of ownership within a generation; 0 is never granted.
using epoch_number = std::uint64_t;

/// Names one life of a shard's records; 0 means that the replica holds none.
using generation_number = std::uint64_t;

/// Unit of ownership: the submissions of one service with one home zone.
struct shard_id {
    std::string service;
    std::string zone;

    bool operator==(const shard_id&) const = default;
    bool operator<(const shard_id& other) const {
        return std::tie(service, zone) < std::tie(other.service, other.zone);
    }
};

/// A submission within its shard and generation; ordered by issue time so that expiry is a prefix.
struct submission_key {
    core::time_ms issued{}; ///< Wall-clock time of issue.
    std::string key;

    bool operator==(const submission_key&) const = default;
    bool operator<(const submission_key& other) const {
        return std::tie(issued, key) < std::tie(other.issued, other.key);
    }
};

/// 128-bit digest of a submission's content.
struct content_digest {
    std::uint64_t low = 0;
    std::uint64_t high = 0;

    bool operator==(const content_digest&) const = default;
};

/// Binds the identifier to one content.
struct submission_registration {
    content_digest digest;
    std::uint32_t task_count = 0;

    bool operator==(const submission_registration&) const = default;
};

/// A task is about to be sent to a target. The epoch is that of the append that carries the record.
struct task_start {
    std::uint32_t task = 0;
    std::uint32_t attempt = 0; ///< 1 for the first attempt.

    bool operator==(const task_start&) const = default;
};

/// An attempt ended.
struct task_end {
    std::uint32_t task = 0;
    std::uint32_t attempt = 0;
    core::outcome_class outcome = core::outcome_class::may_have_run;
    bool retry_allowed = false; ///< Another attempt may start; only after a definite failure.

    bool operator==(const task_end&) const = default;
};

/// The end of a submission. A refusal is recorded like an answer: if it were not, a copy of the
/// submission that is still under way could run after the caller was told that it has not run.
struct job_end {
    core::outcome_class outcome = core::outcome_class::may_have_run;
    std::string reason{};
    std::vector<std::string> results{}; ///< One per task when answered and kept.
    bool answer_kept = true;            ///< False when the answer exceeded the bound.

    bool operator==(const job_end&) const = default;
};

/// All records of one submission that are appended together.
struct job_records {
    submission_key submission;
    std::optional<submission_registration> registration{};
    std::vector<task_start> starts{};
    std::vector<task_end> ends{};
    std::optional<job_end> end{};

    bool operator==(const job_records&) const = default;
};

/// Digest of what is to be run: service, caller, idempotency and tasks. The deadline is left out,
/// because a resubmission may state another one.
[[nodiscard]] content_digest digest_of(const core::job_request& request);

/// Record of `answer`; results beyond `max_bytes` in all are not kept.
[[nodiscard]] job_end make_job_end(const core::job_answer& answer, std::size_t max_bytes);

} // namespace hawthornstall::journal
