#pragma once

/// Decides from the journal's records what the owner of a shard answers to a submission.

#include "hawthornstall/core/submission_id.hpp"
#include "hawthornstall/journal/owner_log.hpp"

#include <string_view>

namespace hawthornstall::journal {

/// Status of a submission identifier. Only `fresh` and `retryable` admit the submission's tasks to
/// the queue.
enum class submission_verdict : std::uint8_t {
    fresh, ///< No task of it has started; it may be registered and run.
    /// All started attempts failed and may be repeated. It may be run again, but a refusal must not
    /// claim that it has not run.
    retryable,
    in_progress,       ///< This owner is running it, or its end is not committed yet.
    answered,          ///< It was answered, and the results are kept.
    failed,            ///< It ended in a definite failure.
    refused,           ///< It was refused before any task started and will not run.
    may_have_run,      ///< A task may have started; it is never started again.
    too_old,           ///< Older than the retention time; may have run.
    other_generation,  ///< Issued for another generation; may have run.
    issued_in_future,  ///< Beyond the allowed clock skew; may have run.
    different_content, ///< The identifier is bound to other content; this content has not run.
    table_full,        ///< The table can't record another submission, not even its refusal.
};

/// Name for logs and refusals, for example "too_old".
[[nodiscard]] std::string_view to_string(submission_verdict verdict) noexcept;

/// Outcome class to report to the caller.
/// - `in_progress` is not reported; the answer waits for the end of the job.
/// - To refuse a `fresh` submission, a registration and an end are appended and must be committed
///   before the caller is told.
/// - `different_content` may be reported only once an append made after the lookup is committed
///   (owner_log::confirm_ownership), because an owner that was superseded without noticing may hold
///   a registration that a newer owner has replaced.
[[nodiscard]] core::outcome_class outcome_of(submission_verdict verdict) noexcept;

/// Limits of a table.
struct table_settings {
    core::duration_ms retention{600'000};     ///< Age at which submissions are dropped.
    core::duration_ms max_clock_skew{30'000}; ///< Between the issuing host and the owner.
    std::size_t max_submissions = 1'000'000;  ///< New ones are refused beyond this number.
};

/// Result of a lookup. `end` is set with `answered`, `failed`, `refused` and a recorded
/// `may_have_run`, and is valid until the next change of the owner's log.
struct submission_lookup {
    submission_verdict verdict = submission_verdict::may_have_run;
    const job_end* end = nullptr;
};

/// Read-only view of the submissions of one owned shard. It never takes a dropped submission for a
/// new one, because the expiry bound is part of the replicated state.
class submission_table {
public:
    /// `log` must outlive the table and must be serving whenever the table is queried.
    submission_table(const owner_log& log, table_settings settings)
        : log_(&log), settings_(settings) {}

    /// Status of the submission `id` whose content has `digest`.
    [[nodiscard]] submission_lookup
    find(const core::submission_id& id, const content_digest& digest, core::time_ms wall_now) const;

    /// Number of the attempt that a task of a registered submission may start now; empty if it must
    /// not start. A start that is appended but not committed yet counts as a start.
    [[nodiscard]] std::optional<std::uint32_t> next_attempt(const submission_key& submission,
                                                            std::uint32_t task) const;

    /// Expiry bound for owner_log::forget_before: submissions issued earlier are `too_old`.
    [[nodiscard]] core::time_ms expiry_bound(core::time_ms wall_now) const {
        return wall_now - settings_.retention;
    }

    [[nodiscard]] const owner_log& log() const noexcept { return *log_; }

private:
    [[nodiscard]] submission_lookup find_recorded(const submission_key& submission,
                                                  const submission_state& state) const;

    const owner_log* log_;
    table_settings settings_;
};

/// Key of `id` within its shard and generation.
[[nodiscard]] inline submission_key key_of(const core::submission_id& id) {
    return {.issued = id.issued, .key = id.key};
}

} // namespace hawthornstall::journal
