#include "hawthornstall/runs/job_front_end.hpp"

#include <algorithm>
#include <utility>

namespace hawthornstall::runs {
namespace detail {

/// Time after the deadline of a job at which its caller is told that there is no result.
constexpr core::duration_ms answer_grace{200};

/// Callers whose job was refused here, and not by the scheduler, are told to wait this long.
constexpr core::duration_ms retry_after_refusal{1'000};

std::string describe_submission(std::uint64_t number) {
    return "submission " + std::to_string(number);
}

std::string describe_run(const grant_run& grant) {
    return "run " + std::to_string(grant.run) + " of task " + std::to_string(grant.step) + '.' +
           std::to_string(grant.index) + " on target " + grant.target + " of host " + grant.holder;
}

} // namespace detail

void job_front_end::open(std::uint64_t request, job_request job,
                         const std::optional<std::string>& scheduler, core::time_ms arrived,
                         core::time_ms now) {
    const auto number = ++last_number_;
    const auto deadline = arrived + job.terms.deadline;
    const auto caller_leaves_at = earliest_arrival(arrived, now) + job.terms.deadline;
    const auto position =
        open_
            .emplace(number, open_job{.request = request,
                                      .first_number = number,
                                      .job = std::move(job),
                                      .scheduler = scheduler.value_or(""),
                                      .arrived = arrived,
                                      .expires_at = deadline + detail::answer_grace,
                                      .caller_leaves_at = caller_leaves_at})
            .first;
    if (scheduler) {
        submit(*position, now);
    } else {
        reassign_or_finish(position, scheduler, now);
    }
}

/// Earliest time at which a request can have arrived. The event loop reads all that has arrived
/// between two ticks, so what it reads now has arrived after the tick before the last; that is long
/// ago when the process was suspended since. A request that has waited for the configuration may
/// have arrived at any time since the start of the process.
core::time_ms job_front_end::earliest_arrival(core::time_ms read_at,
                                              core::time_ms now) const noexcept {
    const auto bound = read_at < now ? started_ : std::max(started_, tick_before_last_);
    return bound == core::time_ms{} ? read_at : bound;
}

void job_front_end::submit(const open_map::value_type& item, core::time_ms now) {
    const auto& [number, job] = item;
    submit_job message{.number = number,
                       .first_number = job.first_number,
                       .job = job.job,
                       .age = now - job.arrived};
    message.job.specification.clear();
    effects_.messages.push_back({job.scheduler, std::move(message)});
}

/// Submits a job to the next scheduler under a new number. This ends its earlier submission:
/// messages that still arrive for it are ignored.
void job_front_end::resubmit(open_map::iterator position, const std::string& next,
                             core::time_ms now) {
    auto node = open_.extract(position);
    auto& job = node.mapped();
    const auto earlier = std::exchange(node.key(), ++last_number_);
    effects_.events.push_back({"job_resubmitted", job.job.id, next,
                               detail::describe_submission(node.key()) + " replaces " +
                                   std::to_string(earlier) + " at " + job.scheduler});
    job.scheduler = next;
    submit(*open_.insert(std::move(node)).position, now);
}

job_front_end::open_map::iterator job_front_end::find(std::string_view scheduler,
                                                      std::uint64_t number) {
    const auto position = open_.find(number);
    const bool is_open = position != open_.end() && position->second.scheduler == scheduler;
    return is_open ? position : open_.end();
}

bool job_front_end::granted(std::string_view scheduler, const grant_run& grant) {
    const auto position = find(scheduler, grant.number);
    if (position == open_.end() || grant.step >= position->second.job.steps.size()) {
        effects_.messages.push_back({std::string{scheduler}, cancel_job{.number = grant.number}});
        effects_.events.push_back({"grant_ignored",
                                   {},
                                   std::string{scheduler},
                                   detail::describe_submission(grant.number) + " is not open, " +
                                       detail::describe_run(grant)});
        return false;
    }
    const auto& job = position->second.job;
    position->second.holders.insert(grant.holder);
    effects_.events.push_back(
        {"grant_accepted", job.id, std::string{scheduler},
         detail::describe_submission(grant.number) + ", " + detail::describe_run(grant)});
    effects_.messages.push_back(
        {grant.holder,
         start_run{.scheduler = std::string{scheduler},
                   .key = grant.key,
                   .target = grant.target,
                   .run = {.task = {job.id, grant.step, grant.index}, .number = grant.run},
                   .specification = job.specification,
                   .resources = job.steps[grant.step].resources,
                   .submission = grant.number,
                   .caller_leaves_at = position->second.caller_leaves_at}});
    return true;
}

void job_front_end::ended(std::string_view scheduler, const job_ended& message, core::time_ms now) {
    const auto position = find(scheduler, message.number);
    if (position != open_.end()) {
        finish(position, message, now);
        return;
    }
    effects_.events.push_back({"result_ignored",
                               {},
                               std::string{scheduler},
                               detail::describe_submission(message.number) + " is not open, " +
                                   std::string{to_string(message.result)} + ": " + message.reason});
}

void job_front_end::caller_left(std::uint64_t request, core::time_ms now) {
    for (auto position = open_.begin(); position != open_.end(); ++position) {
        if (position->second.request == request) {
            effects_.messages.push_back(
                {position->second.scheduler, cancel_job{.number = position->first}});
            finish(position,
                   {.number = position->first,
                    .result = job_result::lost,
                    .reason = "the caller has left"},
                   now);
            return;
        }
    }
}

bool job_front_end::cancel(std::string_view id, core::time_ms now) {
    bool found = false;
    for (auto position = open_.begin(); position != open_.end();) {
        if (position->second.job.id != id) {
            ++position;
            continue;
        }
        found = true;
        effects_.messages.push_back(
            {position->second.scheduler, cancel_job{.number = position->first}});
        position = finish(position,
                          {.number = position->first,
                           .result = job_result::cancelled,
                           .reason = "cancelled at a caller's request"},
                          now);
    }
    return found;
}

void job_front_end::host_unreachable(std::string_view host, const std::optional<std::string>& next,
                                     core::time_ms now) {
    const auto last = last_number_;
    for (auto position = open_.begin(); is_up_to(position, last);) {
        const auto current = position++;
        if (current->second.scheduler == host) {
            reassign_or_finish(current, next, now);
        }
    }
}

void job_front_end::scheduler_changed(const std::string& next, core::time_ms now) {
    const auto last = last_number_;
    for (auto position = open_.begin(); is_up_to(position, last);) {
        const auto current = position++;
        const auto& [number, job] = *current;
        if (!job.run_started() && job.scheduler != next) {
            effects_.messages.push_back({job.scheduler, cancel_job{.number = number}});
            resubmit(current, next, now);
        }
    }
}

/// Whether a loop over the open jobs goes on at `position`. Jobs that the loop resubmits get
/// numbers above `last`, the last number before the loop, and are not visited again.
bool job_front_end::is_up_to(open_map::iterator position, std::uint64_t last) {
    return position != open_.end() && position->first <= last;
}

/// Submits a job to the next scheduler, or answers it when a run was started or nobody schedules.
/// Every start of a run is sent by this host, so a job without one has not run.
void job_front_end::reassign_or_finish(open_map::iterator position,
                                       const std::optional<std::string>& next, core::time_ms now) {
    if (position->second.run_started()) {
        finish(position,
               {.number = position->first,
                .result = job_result::lost,
                .reason = "the scheduler cannot be reached"},
               now);
    } else if (!next) {
        finish(position,
               {.number = position->first,
                .result = job_result::refused,
                .retry_after = detail::retry_after_refusal,
                .reason = "no host schedules jobs now"},
               now);
    } else {
        resubmit(position, *next, now);
    }
}

void job_front_end::tick(core::time_ms now) {
    tick_before_last_ = std::exchange(last_tick_, now);
    for (auto position = open_.begin(); position != open_.end();) {
        if (now < position->second.expires_at) {
            ++position;
            continue;
        }
        const auto& job = position->second;
        effects_.messages.push_back({job.scheduler, cancel_job{.number = position->first}});
        // A later grant is ignored, so a job without a started run will never run.
        position = finish(position,
                          {.number = position->first,
                           .result = job.run_started() ? job_result::lost : job_result::refused,
                           .retry_after = detail::retry_after_refusal,
                           .reason = "no answer by the deadline"},
                          now);
    }
}

job_front_end::open_map::iterator job_front_end::finish(open_map::iterator position,
                                                        const job_ended& end, core::time_ms now) {
    const auto& job = position->second;
    if (end.result != job_result::completed) {
        // The caller may submit the job again. A lease holder that does not get this message does
        // not hear this host either, and lets the lease end in time.
        for (const auto& holder : job.holders) {
            effects_.messages.push_back({holder, stop_submission{.number = position->first}});
        }
    }
    // A refusal tells the caller that nothing has run.
    const bool may_have_run = end.result == job_result::refused && job.run_started();
    effects_.answers.push_back({.request = job.request,
                                .job = job.job.id,
                                .result = may_have_run ? job_result::lost : end.result,
                                .retry_after = end.retry_after,
                                .reason = end.reason,
                                .age = now - job.arrived});
    return open_.erase(position);
}

front_end_effects job_front_end::take_effects() {
    return std::exchange(effects_, {});
}

} // namespace hawthornstall::runs
