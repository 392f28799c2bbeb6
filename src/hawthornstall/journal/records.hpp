#pragma once

/// Records of submissions that the journal replicates within a zone.

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

/// Number of a period of ownership, and the fencing token of its owner. Grows with each change of
/// ownership within a generation; 0 is never granted.
using epoch_number = std::uint64_t;

/// Identifies a shard's records from their creation until a quorum of replicas has lost them; the
/// next generation starts empty. 0 means that a replica belongs to no generation.
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

/// Identifies a submission within its shard and generation. Keys are ordered by issue time, so that
/// the expired submissions come first.
struct submission_key {
    core::time_ms issued{}; ///< Wall-clock time of issue.
    std::string key;

    bool operator==(const submission_key&) const = default;
    bool operator<(const submission_key& other) const {
        return std::tie(issued, key) < std::tie(other.issued, other.key);
    }
};

/// 128-bit hash of a submission's content.
struct content_digest {
    std::uint64_t low = 0;
    std::uint64_t high = 0;

    bool operator==(const content_digest&) const = default;
};

/// Binds the identifier of a submission to its content.
struct submission_registration {
    content_digest digest;
    std::uint32_t task_count = 0;

    bool operator==(const submission_registration&) const = default;
};

/// Records that a task is about to be sent to a target. The attempt belongs to the epoch of the
/// append that carries the record.
struct task_start {
    std::uint32_t task = 0;
    std::uint32_t attempt = 0; ///< 1 for the first attempt.

    bool operator==(const task_start&) const = default;
};

/// Records how an attempt ended.
struct task_end {
    std::uint32_t task = 0;
    std::uint32_t attempt = 0;
    core::outcome_class outcome = core::outcome_class::may_have_run;
    bool retry_allowed = false; ///< Another attempt may start; only after a definite failure.

    bool operator==(const task_end&) const = default;
};

/// Final outcome of a submission. A refusal is recorded like an answer; otherwise a duplicate of
/// the submission that is still in flight could run after the caller was told that it has not run.
struct job_end {
    core::outcome_class outcome = core::outcome_class::may_have_run;
    std::string reason{};
    std::vector<std::string> results{}; ///< One per task if answered and kept, else empty.
    bool answer_kept = true;            ///< False if the results exceeded the size limit.

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

/// Hash of the content of a job: service, caller, idempotency and task payloads. The deadline is
/// left out, because a resubmission may state another one.
[[nodiscard]] content_digest digest_of(const core::job_request& request);

/// Record of `answer`. The results are dropped if their total size exceeds `max_bytes`.
[[nodiscard]] job_end make_job_end(const core::job_answer& answer, std::size_t max_bytes);

} // namespace hawthornstall::journal
