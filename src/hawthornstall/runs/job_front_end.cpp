#include "hawthornstall/runs/job_front_end.hpp"

#include <utility>

namespace hawthornstall::runs {
namespace detail {

/// Time after the deadline of a job at which its caller is told that there is no result.
constexpr core::duration_ms answer_grace{200};

/// Callers whose job was refused here, and not by the scheduler, are told to wait this long.
constexpr core::duration_ms retry_after_refusal{1'000};

} // namespace detail

void job_front_end::open(std::uint64_t request, job_request job,
                         const std::optional<std::string>& scheduler, core::time_ms arrived,
                         core::time_ms now) {
    const auto number = ++last_number_;
    const auto expires_at = arrived + job.terms.deadline + detail::answer_grace;
    const auto position = open_
                              .emplace(number, open_job{.request = request,
                                                        .job = std::move(job),
                                                        .scheduler = scheduler.value_or(""),
                                                        .arrived = arrived,
                                                        .expires_at = expires_at})
                              .first;
    if (scheduler) {
        submit(number, position->second, now);
    } else {
        reassign_or_finish(position, scheduler, now);
    }
}

void job_front_end::submit(std::uint64_t number, const open_job& job, core::time_ms now) {
    submit_job message{.number = number, .job = job.job, .age = now - job.arrived};
    message.job.specification.clear();
    effects_.messages.push_back({job.scheduler, std::move(message)});
}

bool job_front_end::granted(std::string_view scheduler, const grant_run& grant) {
    const auto position = open_.find(grant.number);
    if (position == open_.end() || position->second.scheduler != scheduler ||
        grant.step >= position->second.job.steps.size()) {
        effects_.messages.push_back({std::string{scheduler}, cancel_job{.number = grant.number}});
        return false;
    }
    const auto& job = position->second.job;
    position->second.run_started = true;
    effects_.messages.push_back(
        {grant.holder,
         start_run{.scheduler = std::string{scheduler},
                   .key = grant.key,
                   .target = grant.target,
                   .run = {.task = {job.id, grant.step, grant.index}, .number = grant.run},
                   .specification = job.specification,
                   .resources = job.steps[grant.step].resources}});
    return true;
}

void job_front_end::ended(std::string_view scheduler, const job_ended& message, core::time_ms now) {
    const auto position = open_.find(message.number);
    if (position != open_.end() && position->second.scheduler == scheduler) {
        finish(position, message, now);
    }
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

void job_front_end::host_unreachable(std::string_view host, const std::optional<std::string>& next,
                                     core::time_ms now) {
    for (auto position = open_.begin(); position != open_.end();) {
        position = position->second.scheduler == host ? reassign_or_finish(position, next, now)
                                                      : std::next(position);
    }
}

void job_front_end::scheduler_changed(const std::string& next, core::time_ms now) {
    for (auto& [number, job] : open_) {
        if (!job.run_started && job.scheduler != next) {
            effects_.messages.push_back({job.scheduler, cancel_job{.number = number}});
            job.scheduler = next;
            submit(number, job, now);
        }
    }
}

/// Submits a job to the next scheduler, or answers it when a run was started or nobody schedules.
/// Every start of a run is sent by this host, so a job without one has not run.
job_front_end::open_map::iterator
job_front_end::reassign_or_finish(open_map::iterator position,
                                  const std::optional<std::string>& next, core::time_ms now) {
    auto& job = position->second;
    if (job.run_started) {
        return finish(position,
                      {.number = position->first,
                       .result = job_result::lost,
                       .reason = "the scheduler cannot be reached"},
                      now);
    }
    if (!next) {
        return finish(position,
                      {.number = position->first,
                       .result = job_result::refused,
                       .retry_after = detail::retry_after_refusal,
                       .reason = "no host schedules jobs now"},
                      now);
    }
    job.scheduler = *next;
    submit(position->first, job, now);
    return std::next(position);
}

void job_front_end::tick(core::time_ms now) {
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
                           .result = job.run_started ? job_result::lost : job_result::refused,
                           .retry_after = detail::retry_after_refusal,
                           .reason = "no answer by the deadline"},
                          now);
    }
}

job_front_end::open_map::iterator job_front_end::finish(open_map::iterator position,
                                                        const job_ended& end, core::time_ms now) {
    const auto& job = position->second;
    effects_.answers.push_back({.request = job.request,
                                .job = job.job.id,
                                .result = end.result,
                                .retry_after = end.retry_after,
                                .reason = end.reason,
                                .age = now - job.arrived});
    return open_.erase(position);
}

front_end_effects job_front_end::take_effects() {
    return std::exchange(effects_, {});
}

} // namespace hawthornstall::runs
