#pragma once

/// State of one shard in one generation, built from its records by replicas and owners.

#include "hawthornstall/journal/records.hpp"

#include <map>

namespace hawthornstall::journal {

/// State of one task. Attempt 0 means that no attempt has started.
struct task_state {
    std::uint32_t attempt = 0;
    epoch_number epoch = 0;     ///< Epoch that started the latest attempt.
    epoch_number end_epoch = 0; ///< Epoch that recorded its end; 0 if there is none.
    core::outcome_class outcome = core::outcome_class::may_have_run; ///< Valid if it ended.
    bool retry_allowed = false; ///< Valid if it ended: another attempt may start.

    bool operator==(const task_state&) const = default;
};

/// State of one submission.
struct submission_state {
    submission_registration registration;
    epoch_number epoch = 0;        ///< Epoch of the latest registration.
    std::vector<task_state> tasks; ///< Up to the last started one; empty once the job has ended.
    std::optional<job_end> end;

    bool operator==(const submission_state&) const = default;
};

/// Submission in a snapshot.
struct submission_entry {
    submission_key submission;
    submission_state state;

    bool operator==(const submission_entry&) const = default;
};

/// Serialisable copy of a shard's state.
struct shard_snapshot {
    epoch_number written_by = 0;               ///< Epoch of the owner that wrote this state.
    core::time_ms forgotten_before{};          ///< Submissions issued earlier have been dropped.
    std::vector<submission_entry> submissions; ///< In order of their keys.

    bool operator==(const shard_snapshot&) const = default;
};

/// Submissions of one shard. All replicas that acknowledge the same owner hold a prefix of its
/// append sequence. merge() combines states that different owners wrote.
class shard_state {
public:
    /// Applies records that the owner of `epoch` appended. Records of an unknown submission without
    /// a registration, of an ended one, or of one that is older than the expiry bound are ignored.
    void apply(const job_records& records, epoch_number epoch);

    /// Merges `other` into this state. Where they differ, the state written by the higher epoch
    /// wins, because its owner had read every committed record of the lower epochs. The starts of
    /// tasks are united: a task has started if either side recorded a start. Must be called in
    /// ascending order of `written_by`.
    void merge(const shard_snapshot& other);

    /// Marks the state as written by the owner of `epoch`, which is about to write it to a quorum.
    void mark_written_by(epoch_number epoch) noexcept { written_by_ = epoch; }

    /// Drops the submissions issued before `time`; they can't be recorded again. The expiry bound
    /// is part of the replicated state, so that an owner with a slower clock can't take a dropped
    /// submission for a new one.
    void forget_before(core::time_ms time);

    /// State of `submission`, or nullptr.
    [[nodiscard]] const submission_state* find(const submission_key& submission) const;
    /// Expiry bound: submissions issued earlier have been dropped.
    [[nodiscard]] core::time_ms forgotten_before() const noexcept { return forgotten_before_; }
    /// Number of recorded submissions.
    [[nodiscard]] std::size_t size() const noexcept { return submissions_.size(); }

    [[nodiscard]] shard_snapshot snapshot() const;
    /// Replaces the state by `snapshot`.
    void restore(const shard_snapshot& snapshot);

private:
    epoch_number written_by_ = 0;
    core::time_ms forgotten_before_{};
    std::map<submission_key, submission_state> submissions_;
};

} // namespace hawthornstall::journal
