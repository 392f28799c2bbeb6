#pragma once

/// What the owner of a shard answers to a submission, decided from the journal's records.

#include "hawthornstall/core/submission_id.hpp"
#include "hawthornstall/journal/owner_log.hpp"

#include <string_view>

namespace hawthornstall::journal {

/// State of an identifier. Only `fresh` and `retryable` let tasks of a submission enter the queue.
enum class submission_verdict : std::uint8_t {
    fresh,             ///< Nothing of it has started; it may be registered and run.
    retryable,         ///< All started attempts failed and may be repeated; like `fresh`, but not
                       ///< to be refused as not run.
    in_progress,       ///< This owner runs it; its end is still to come.
    answered,          ///< The whole answer is present.
    failed,            ///< Ended in a definite failure.
    refused,           ///< Was refused before anything started; it will not run.
    may_have_run,      ///< Something may have started; it is never started again.
    too_old,           ///< Older than the retention time; may have run.
    other_generation,  ///< Issued for another generation; may have run.
    issued_in_future,  ///< Beyond the allowed clock skew; may have run.
    different_content, ///< The identifier is bound to other content; this content has not run.
    table_full,        ///< No room to record another submission, not even its refusal.
};

/// Name for logs and refusals, for example "too_old".
[[nodiscard]] std::string_view to_string(submission_verdict verdict) noexcept;

/// Outcome class that a caller is told. `in_progress` has none and waits for the end. `fresh` is
/// refused by appending a registration and an end, which are committed before the caller is told.
/// `different_content` may be told only once an append made after the lookup is committed
/// (owner_log::confirm_ownership), because an owner that was superseded without noticing may
/// hold a registration that a newer owner has replaced.
[[nodiscard]] core::outcome_class outcome_of(submission_verdict verdict) noexcept;

/// Bounds of a table.
struct table_settings {
    core::duration_ms retention{600'000};     ///< Age at which identifiers are forgotten.
    core::duration_ms max_clock_skew{30'000}; ///< Between the issuing host and the owner.
    std::size_t max_submissions = 1'000'000;  ///< New ones are refused beyond this number.
};

/// A verdict and, with `answered`, `failed`, `refused` or a recorded `may_have_run`, the end of the
/// job. The pointer is valid until the next change of the owner's log.
struct submission_lookup {
    submission_verdict verdict = submission_verdict::may_have_run;
    const job_end* end = nullptr;
};

/// View of the submissions of one owned shard. It never takes a forgotten submission for a new one,
/// because the age bound is part of the replicated state.
class submission_table {
public:
    /// `log` must be serving while the table is asked and must outlive it.
    submission_table(const owner_log& log, table_settings settings)
        : log_(&log), settings_(settings) {}

    /// State of the submission `id` with content `digest`.
    [[nodiscard]] submission_lookup
    find(const core::submission_id& id, const content_digest& digest, core::time_ms wall_now) const;

    /// Attempt number under which the task of a registered submission may start now; empty when it
    /// must not start. Appends that are not committed yet count as started.
    [[nodiscard]] std::optional<std::uint32_t> next_attempt(const submission_key& submission,
                                                            std::uint32_t task) const;

    /// Bound to hand to owner_log::forget_before: older identifiers are refused as too old.
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
