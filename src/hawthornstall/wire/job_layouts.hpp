#pragma once

/// Wire layouts of jobs and job answers.

#include "hawthornstall/core/job.hpp"
#include "hawthornstall/wire/layout.hpp"

namespace hawthornstall::wire {

template <> struct layout<core::submission_id> {
    static constexpr auto members =
        std::tuple{&core::submission_id::zone, &core::submission_id::generation,
                   &core::submission_id::issued, &core::submission_id::key};
};

template <> struct layout<core::task_request> {
    static constexpr auto members =
        std::tuple{&core::task_request::payload, &core::task_request::declared_run_time};
};

template <> struct layout<core::job_request> {
    static constexpr auto members = std::tuple{
        &core::job_request::service,    &core::job_request::caller,   &core::job_request::id,
        &core::job_request::idempotent, &core::job_request::deadline, &core::job_request::tasks};
};

template <> struct layout<core::job_answer> {
    static constexpr auto members =
        std::tuple{&core::job_answer::id, &core::job_answer::outcome, &core::job_answer::reason,
                   &core::job_answer::retry_after, &core::job_answer::results};
};

} // namespace hawthornstall::wire
