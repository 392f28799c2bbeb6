#include "hawthornstall/journal/submission_table.hpp"

#include <algorithm>
#include <array>

namespace hawthornstall::journal {
namespace detail {

/// Name and outcome class of a verdict.
struct verdict_entry {
    submission_verdict verdict;
    std::string_view name;
    core::outcome_class outcome;
};

constexpr std::array verdict_entries{
    verdict_entry{submission_verdict::fresh, "fresh", core::outcome_class::refused_not_run},
    verdict_entry{submission_verdict::retryable, "retryable", core::outcome_class::failed},
    verdict_entry{submission_verdict::in_progress, "in_progress",
                  core::outcome_class::may_have_run},
    verdict_entry{submission_verdict::answered, "answered", core::outcome_class::answered},
    verdict_entry{submission_verdict::failed, "failed", core::outcome_class::failed},
    verdict_entry{submission_verdict::refused, "refused", core::outcome_class::refused_not_run},
    verdict_entry{submission_verdict::may_have_run, "may_have_run",
                  core::outcome_class::may_have_run},
    verdict_entry{submission_verdict::too_old, "too_old", core::outcome_class::may_have_run},
    verdict_entry{submission_verdict::other_generation, "other_generation",
                  core::outcome_class::may_have_run},
    verdict_entry{submission_verdict::issued_in_future, "issued_in_future",
                  core::outcome_class::may_have_run},
    verdict_entry{submission_verdict::different_content, "different_content",
                  core::outcome_class::refused_not_run},
    verdict_entry{submission_verdict::table_full, "table_full", core::outcome_class::may_have_run},
};

const verdict_entry* find_entry(submission_verdict verdict) {
    return std::ranges::find(verdict_entries, verdict, &verdict_entry::verdict);
}

/// Verdict on a submission that an earlier owner registered and did not end. The results of its
/// tasks are not recorded until the job ends, so it can be run again only if every started attempt
/// failed and may be repeated.
submission_verdict classify_inherited_tasks(std::span<const task_state> tasks) {
    bool has_started = false;
    bool may_repeat = true;
    for (const auto& task : tasks) {
        if (task.attempt == 0) {
            continue;
        }
        if (task.end_epoch == 0 || task.outcome != core::outcome_class::failed) {
            return submission_verdict::may_have_run;
        }
        has_started = true;
        may_repeat = may_repeat && task.retry_allowed;
    }
    if (!has_started) {
        return submission_verdict::fresh;
    }
    return may_repeat ? submission_verdict::retryable : submission_verdict::failed;
}

} // namespace detail

std::string_view to_string(submission_verdict verdict) noexcept {
    const auto* const found = detail::find_entry(verdict);
    return found == detail::verdict_entries.end() ? "unknown" : found->name;
}

core::outcome_class outcome_of(submission_verdict verdict) noexcept {
    const auto* const found = detail::find_entry(verdict);
    return found == detail::verdict_entries.end() ? core::outcome_class::may_have_run
                                                  : found->outcome;
}

submission_lookup submission_table::find(const core::submission_id& id,
                                         const content_digest& digest,
                                         core::time_ms wall_now) const {
    if (id.generation != log_->generation() || id.zone != log_->shard().zone) {
        return {submission_verdict::other_generation};
    }
    const auto submission = key_of(id);
    if (const auto* const state = log_->state().find(submission)) {
        if (state->registration.digest != digest) {
            return {submission_verdict::different_content};
        }
        return find_recorded(submission, *state);
    }
    if (id.issued < std::max(log_->state().forgotten_before(), expiry_bound(wall_now))) {
        return {submission_verdict::too_old};
    }
    if (id.issued > wall_now + settings_.max_clock_skew) {
        return {submission_verdict::issued_in_future};
    }
    if (log_->state().size() >= settings_.max_submissions) {
        return {submission_verdict::table_full};
    }
    return {submission_verdict::fresh};
}

submission_lookup submission_table::find_recorded(const submission_key& submission,
                                                  const submission_state& state) const {
    if (state.end) {
        // An end that is not committed yet could be lost after the caller has been told of it.
        if (log_->is_pending(submission)) {
            return {submission_verdict::in_progress};
        }
        if (state.end->outcome == core::outcome_class::answered && state.end->answer_kept) {
            return {submission_verdict::answered, &*state.end};
        }
        if (state.end->outcome == core::outcome_class::failed) {
            return {submission_verdict::failed, &*state.end};
        }
        if (state.end->outcome == core::outcome_class::refused_not_run) {
            return {submission_verdict::refused, &*state.end};
        }
        return {submission_verdict::may_have_run, &*state.end};
    }
    if (state.epoch == log_->epoch()) {
        return {submission_verdict::in_progress};
    }
    return {detail::classify_inherited_tasks(state.tasks)};
}

std::optional<std::uint32_t> submission_table::next_attempt(const submission_key& submission,
                                                            std::uint32_t task) const {
    const auto* const state = log_->state().find(submission);
    const bool is_running = state != nullptr && !state->end && state->epoch == log_->epoch() &&
                            task < state->registration.task_count;
    if (!is_running) {
        return std::nullopt;
    }
    if (task >= state->tasks.size() || state->tasks[task].attempt == 0) {
        return 1;
    }
    const auto& latest = state->tasks[task];
    if (latest.end_epoch != 0 && latest.retry_allowed) {
        return latest.attempt + 1;
    }
    return std::nullopt;
}

} // namespace hawthornstall::journal
