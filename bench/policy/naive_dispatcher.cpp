#include "policy/naive_dispatcher.hpp"

#include <algorithm>

namespace hawthornstall::policy_bench {

using scheduling::attempt_id;
using scheduling::attempt_result;
using scheduling::end_reason;
using scheduling::job_id;

scheduling::target_id naive_dispatcher::set_target(std::string_view name,
                                                   const core::target_capacity& /*capacity*/,
                                                   bool /*available*/) {
    const auto id = static_cast<scheduling::target_id>(next_target_++);
    targets_.emplace_back(std::string{name}, id);
    return id;
}

void naive_dispatcher::remove_target(std::string_view name) {
    std::erase_if(targets_, [name](const auto& target) { return target.first == name; });
}

void naive_dispatcher::submit(job_id id, const scheduling::job_terms& terms, core::time_ms now) {
    auto owned = std::make_unique<job_state>();
    auto& job = *owned;
    job.id = id;
    job.idempotent = terms.idempotent;
    job.deadline = terms.deadline;
    job.declared_ms.resize(terms.declared_run_times.size());
    job.attempts.resize(terms.declared_run_times.size());
    jobs_.emplace(id, std::move(owned));
    deadlines_.insert({job.deadline, id});
    for (std::uint32_t task = 0; task < job.task_count(); ++task) {
        start(job, task, now);
    }
}

void naive_dispatcher::start(job_state& job, std::uint32_t task, core::time_ms now) {
    if (targets_.empty()) {
        retries_.emplace(now + retry_delay, retry{job.id, task});
        return;
    }
    scheduling::attempt_state attempt;
    attempt.job = &job;
    attempt.task = task;
    attempt.target = targets_[engine_() % targets_.size()].second;
    const auto id = attempts_.add(attempt);
    decisions_.starts.push_back({id, job.id, task, ++job.attempts[task], attempt.target});
}

void naive_dispatcher::cancel(job_id id) {
    if (const auto found = jobs_.find(id); found != jobs_.end()) {
        end_unanswered(*found->second, end_reason::cancelled);
    }
}

void naive_dispatcher::not_sent(attempt_id id, scheduling::not_sent_cause /*cause*/,
                                core::time_ms now) {
    if (auto* attempt = attempts_.find(id)) {
        if (attempt->job != nullptr) {
            retries_.emplace(now + retry_delay, retry{attempt->job->id, attempt->task});
        }
        attempts_.erase(id);
    }
}

void naive_dispatcher::finished(attempt_id id, attempt_result result, core::time_ms now) {
    auto* found = attempts_.find(id);
    if (found == nullptr) {
        return;
    }
    auto* job = found->job;
    const auto task = found->task;
    attempts_.erase(id);
    if (job == nullptr) {
        return;
    }
    job->ran = job->ran || result != attempt_result::not_run;
    job->lost = job->lost || result == attempt_result::lost;
    if (result == attempt_result::answered) {
        if (++job->answered_tasks == job->task_count()) {
            end_job(*job, core::outcome_class::answered, end_reason::none);
        }
    } else if (result == attempt_result::not_run || job->idempotent) {
        retries_.emplace(now + retry_delay, retry{job->id, task});
    } else {
        end_unanswered(*job, end_reason::task_failed);
    }
}

void naive_dispatcher::end_unanswered(job_state& job, end_reason reason) {
    auto outcome = core::outcome_class::refused_not_run;
    if (job.lost || job.first_attempt) {
        outcome = core::outcome_class::may_have_run;
    } else if (job.ran) {
        outcome = core::outcome_class::failed;
    }
    end_job(job, outcome, reason);
}

void naive_dispatcher::end_job(job_state& job, core::outcome_class outcome, end_reason reason) {
    while (job.first_attempt) {
        const auto id = attempts_.id_at(*job.first_attempt);
        decisions_.stops.push_back({id, attempts_.find(id)->target});
        attempts_.detach(id);
    }
    const auto id = job.id;
    deadlines_.erase({job.deadline, id});
    decisions_.ends.push_back({id, outcome, reason, {}});
    jobs_.erase(id);
}

void naive_dispatcher::decide(core::time_ms now, scheduling::decisions& out) {
    while (!deadlines_.empty() && deadlines_.begin()->first <= now) {
        end_unanswered(*jobs_.at(deadlines_.begin()->second), end_reason::deadline);
    }
    while (!retries_.empty() && retries_.begin()->first <= now) {
        const auto item = retries_.begin()->second;
        retries_.erase(retries_.begin());
        if (const auto found = jobs_.find(item.job); found != jobs_.end()) {
            start(*found->second, item.task, now);
        }
    }
    out.clear();
    std::swap(out, decisions_);
    if (!deadlines_.empty()) {
        out.next_call = deadlines_.begin()->first;
    }
    if (!retries_.empty()) {
        out.next_call =
            std::min(retries_.begin()->first, out.next_call.value_or(core::time_ms::max()));
    }
}

} // namespace hawthornstall::policy_bench
