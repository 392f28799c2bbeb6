#include "hawthornstall/journal/shard_state.hpp"

#include <algorithm>
#include <tuple>

namespace hawthornstall::journal {
namespace detail {

/// Largest accepted task index. A job has at most 690 tasks; the limit bounds the memory that a
/// malformed record can allocate.
constexpr std::uint32_t max_task_index = 65'535;

bool has_started_task(const submission_state& state) {
    return std::ranges::any_of(state.tasks,
                               [](const task_state& task) { return task.attempt > 0; });
}

void apply_task_start(submission_state& state, const task_start& start, epoch_number epoch) {
    if (start.task > max_task_index) {
        return;
    }
    if (state.tasks.size() <= start.task) {
        state.tasks.resize(std::max<std::size_t>(start.task + 1, state.registration.task_count));
    }
    auto& task = state.tasks[start.task];
    if (start.attempt > task.attempt) {
        task = task_state{.attempt = start.attempt, .epoch = epoch};
    }
}

void apply_task_end(submission_state& state, const task_end& end, epoch_number epoch) {
    if (end.task >= state.tasks.size() || state.tasks[end.task].attempt != end.attempt) {
        return;
    }
    auto& task = state.tasks[end.task];
    task.end_epoch = epoch;
    task.outcome = end.outcome;
    task.retry_allowed = end.retry_allowed && end.outcome == core::outcome_class::failed;
}

/// Ends the submission. A refusal becomes `may_have_run` if a task has started.
void apply_job_end(submission_state& state, const job_end& end) {
    state.end = end;
    if (end.outcome == core::outcome_class::refused_not_run && has_started_task(state)) {
        state.end->outcome = core::outcome_class::may_have_run;
    }
    // Once the job has ended, its outcome is final and the states of its tasks are not needed.
    state.tasks = {};
}

/// Returns the later of two states of one task.
task_state merge_tasks(const task_state& left, const task_state& right) {
    const auto rank = [](const task_state& task) {
        return std::tuple{task.attempt, task.epoch, task.end_epoch};
    };
    return rank(left) < rank(right) ? right : left;
}

/// Merges `other` into `into`. `is_later` tells that `other` was written by a higher epoch.
void merge_submissions(submission_state& into, const submission_state& other, bool is_later) {
    if (is_later || other.epoch > into.epoch) {
        into.registration = other.registration;
        into.epoch = other.epoch;
    }
    // An end that a later owner didn't know was never committed. It is discarded: if it is a
    // refusal, the later owner may have started the job since.
    if (other.end || is_later) {
        into.end = other.end;
    }
    if (into.end) {
        into.tasks = {};
        return;
    }
    into.tasks.resize(std::max(into.tasks.size(), other.tasks.size()));
    for (std::size_t index = 0; index < other.tasks.size(); ++index) {
        into.tasks[index] = merge_tasks(into.tasks[index], other.tasks[index]);
    }
}

} // namespace detail

void shard_state::apply(const job_records& records, epoch_number epoch) {
    written_by_ = epoch;
    if (records.submission.issued < forgotten_before_) {
        return;
    }
    auto found = submissions_.find(records.submission);
    if (found == submissions_.end()) {
        if (!records.registration) {
            return;
        }
        found = submissions_.try_emplace(records.submission).first;
        found->second.registration = *records.registration;
    }
    auto& state = found->second;
    if (state.end) {
        return;
    }
    if (records.registration) {
        state.epoch = epoch;
    }
    for (const auto& start : records.starts) {
        detail::apply_task_start(state, start, epoch);
    }
    for (const auto& end : records.ends) {
        detail::apply_task_end(state, end, epoch);
    }
    if (records.end) {
        detail::apply_job_end(state, *records.end);
    }
}

void shard_state::merge(const shard_snapshot& other) {
    const bool is_later = other.written_by > written_by_;
    written_by_ = other.written_by;
    for (const auto& entry : other.submissions) {
        detail::merge_submissions(submissions_[entry.submission], entry.state, is_later);
    }
    forget_before(std::max(forgotten_before_, other.forgotten_before));
}

void shard_state::forget_before(core::time_ms time) {
    forgotten_before_ = std::max(forgotten_before_, time);
    const auto is_kept = [this](const auto& item) {
        return item.first.issued >= forgotten_before_;
    };
    submissions_.erase(submissions_.begin(), std::ranges::find_if(submissions_, is_kept));
}

const submission_state* shard_state::find(const submission_key& submission) const {
    const auto found = submissions_.find(submission);
    return found == submissions_.end() ? nullptr : &found->second;
}

shard_snapshot shard_state::snapshot() const {
    shard_snapshot result{
        .written_by = written_by_, .forgotten_before = forgotten_before_, .submissions = {}};
    result.submissions.reserve(submissions_.size());
    for (const auto& [submission, state] : submissions_) {
        result.submissions.push_back({submission, state});
    }
    return result;
}

void shard_state::restore(const shard_snapshot& snapshot) {
    submissions_.clear();
    forgotten_before_ = {};
    written_by_ = 0;
    merge(snapshot);
}

} // namespace hawthornstall::journal
