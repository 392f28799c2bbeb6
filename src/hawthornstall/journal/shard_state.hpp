#pragma once

/// The records of one shard in one generation, as replicas and owners hold them.

#include "hawthornstall/journal/records.hpp"

#include <map>

namespace hawthornstall::journal {

/// What is recorded about one task. Attempt 0 means that it never started.
struct task_state {
    std::uint32_t attempt = 0;
    epoch_number epoch = 0;     ///< Of the owner that started the attempt.
    epoch_number end_epoch = 0; ///< Of the owner that recorded the end; 0 without one.
    core::outcome_class outcome = core::outcome_class::may_have_run; ///< Valid with an end.
    bool retry_allowed = false;

    bool operator==(const task_state&) const = default;
};

/// What is recorded about one submission.
struct submission_state {
    submission_registration registration;
    epoch_number epoch = 0;        ///< Of the latest registration.
    std::vector<task_state> tasks; ///< Up to the last started one; empty once the job ended.
    std::optional<job_end> end;

    bool operator==(const submission_state&) const = default;
};

/// One submission in a snapshot.
struct submission_entry {
    submission_key submission;
    submission_state state;

    bool operator==(const submission_entry&) const = default;
};

/// Transferable form of a shard's state.
struct shard_snapshot {
    epoch_number written_by = 0; ///< Of the owner whose copy or appends made this state.
    core::time_ms forgotten_before{};
    std::vector<submission_entry> submissions; ///< In order of their keys.

    bool operator==(const shard_snapshot&) const = default;
};

/// Records of one shard. All replicas that acknowledge the same owner hold prefixes of one history;
/// merge() joins the states of different owners.
class shard_state {
public:
    /// Applies records that the owner of `epoch` appended.
    void apply(const job_records& records, epoch_number epoch);

    /// Union with `other`. Where they differ, the state that was written by the higher epoch wins,
    /// because its owner had seen every committed record of the lower ones. Started tasks are
    /// joined, so that a start that either side knows counts. Has to be called in ascending order
    /// of `written_by`.
    void merge(const shard_snapshot& other);

    /// Marks everything as written by the owner of `epoch`, which is about to copy it to a quorum.
    void adopt(epoch_number epoch) noexcept { written_by_ = epoch; }

    /// Drops submissions issued before `time` for good: they can't be recorded again. The bound is
    /// part of the state, so that an owner with a slower clock can't take a dropped submission
    /// for a new one.
    void forget_before(core::time_ms time);

    [[nodiscard]] const submission_state* find(const submission_key& submission) const;
    [[nodiscard]] core::time_ms forgotten_before() const noexcept { return forgotten_before_; }
    [[nodiscard]] std::size_t size() const noexcept { return submissions_.size(); }

    [[nodiscard]] shard_snapshot snapshot() const;
    void restore(const shard_snapshot& snapshot);

private:
    epoch_number written_by_ = 0;
    core::time_ms forgotten_before_{};
    std::map<submission_key, submission_state> submissions_;
};

} // namespace hawthornstall::journal
