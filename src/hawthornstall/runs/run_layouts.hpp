#pragma once

/// Wire layouts of the messages about jobs and runs. Encoding is positional, so the order of the
/// members is part of the wire format.

#include "hawthornstall/discovery/layouts.hpp"
#include "hawthornstall/runs/run_messages.hpp"

namespace hawthornstall::wire {

template <> struct layout<runs::job_step> {
    using type = runs::job_step;
    static constexpr auto members =
        std::tuple{&type::count,          &type::resources, &type::estimated,     &type::after,
                   &type::required_label, &type::data_rack, &type::max_per_target};
};

template <> struct layout<runs::job_terms> {
    using type = runs::job_terms;
    static constexpr auto members =
        std::tuple{&type::service, &type::priority,       &type::max_attempts,
                   &type::stretch, &type::latency_target, &type::deadline};
};

template <> struct layout<runs::job_request> {
    using type = runs::job_request;
    static constexpr auto members =
        std::tuple{&type::id, &type::specification, &type::steps, &type::terms};
};

template <> struct layout<runs::job_result> {
    static constexpr auto last = runs::job_result::cancelled;
};

template <> struct layout<runs::run_end> { static constexpr auto last = runs::run_end::declined; };

template <> struct layout<runs::task_name> {
    using type = runs::task_name;
    static constexpr auto members = std::tuple{&type::job, &type::step, &type::index};
};

template <> struct layout<runs::run_name> {
    using type = runs::run_name;
    static constexpr auto members = std::tuple{&type::task, &type::number};
};

template <> struct layout<runs::submit_job> {
    using type = runs::submit_job;
    static constexpr auto members =
        std::tuple{&type::number, &type::first_number, &type::job, &type::age};
};

template <> struct layout<runs::cancel_job> {
    static constexpr auto members = std::tuple{&runs::cancel_job::number};
};

template <> struct layout<runs::cancel_by_id> {
    static constexpr auto members =
        std::tuple{&runs::cancel_by_id::number, &runs::cancel_by_id::job};
};

template <> struct layout<runs::cancel_result> {
    static constexpr auto members =
        std::tuple{&runs::cancel_result::number, &runs::cancel_result::found};
};

template <> struct layout<runs::job_ended> {
    using type = runs::job_ended;
    static constexpr auto members =
        std::tuple{&type::number, &type::result, &type::retry_after, &type::reason};
};

template <> struct layout<runs::start_run> {
    using type = runs::start_run;
    static constexpr auto members = std::tuple{
        &type::scheduler,     &type::key,       &type::target,     &type::run,
        &type::specification, &type::resources, &type::submission, &type::caller_leaves_at};
};

template <> struct layout<runs::stop_submission> {
    static constexpr auto members = std::tuple{&runs::stop_submission::number};
};

template <> struct layout<runs::grant_run> {
    using type = runs::grant_run;
    static constexpr auto members =
        std::tuple{&type::number, &type::key,   &type::holder, &type::target,
                   &type::step,   &type::index, &type::run};
};

template <> struct layout<runs::stop_run> {
    static constexpr auto members = std::tuple{&runs::stop_run::key, &runs::stop_run::target};
};

template <> struct layout<runs::run_ended> {
    using type = runs::run_ended;
    static constexpr auto members =
        std::tuple{&type::key, &type::end, &type::ran_for, &type::restart_delay, &type::reason};
};

template <> struct layout<runs::held_target> {
    using type = runs::held_target;
    static constexpr auto members = std::tuple{
        &type::id,       &type::incarnation,    &type::service, &type::zone, &type::labels,
        &type::capacity, &type::used_by_others, &type::usable,  &type::cold};
};

template <> struct layout<runs::target_report> {
    static constexpr auto members = std::tuple{&runs::target_report::targets};
};

template <> struct layout<runs::host_presence> {
    using type = runs::host_presence;
    static constexpr auto members =
        std::tuple{&type::host, &type::leaving, &type::held_targets, &type::scheduling_for};
};

template <> struct layout<runs::revoke_runs> {
    static constexpr auto members = std::tuple{&runs::revoke_runs::last_key};
};

} // namespace hawthornstall::wire
