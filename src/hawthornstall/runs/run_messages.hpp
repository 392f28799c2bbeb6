#pragma once

/// Messages between entry hosts about jobs and their runs.

#include "hawthornstall/discovery/host_record.hpp"
#include "hawthornstall/runs/job.hpp"
#include "hawthornstall/runs/run_types.hpp"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace hawthornstall::runs {

/// Front end to scheduler: run this job. `number` is unique among the sender's jobs. The
/// specification stays with the front end, which sends it to the holders.
struct submit_job {
    std::uint64_t number = 0;
    job_request job{};
    core::duration_ms age{}; ///< Since the caller's request arrived.
};

/// Scheduler to front end: order a run from the holder of a target.
struct grant_run {
    std::uint64_t number = 0; ///< The front end's number of the job.
    std::uint64_t key = 0;    ///< Unique among the sender's runs.
    std::string holder{};
    std::string target{};
    std::uint32_t step = 0;
    std::uint32_t index = 0;
    std::uint32_t run = 0; ///< Number of the start.
};

/// Front end to scheduler: the caller has left.
struct cancel_job {
    std::uint64_t number = 0;
};

/// Scheduler to front end.
struct job_ended {
    std::uint64_t number = 0;
    job_result result = job_result::lost;
    core::duration_ms retry_after{}; ///< When a refused job may return; 0 when not known.
    std::string reason{};
};

/// Front end to the host that holds the target: start a run that the scheduler has granted.
struct start_run {
    std::string scheduler{}; ///< Host that granted the run and is told its end.
    std::uint64_t key = 0;   ///< Unique among the scheduler's runs.
    std::string target{};
    run_name run{};
    std::string specification{};
    core::room room{};
};

/// Scheduler to holder: stop a run, or do not start it.
struct stop_run {
    std::uint64_t key = 0;
    std::string target{};
};

/// Holder to scheduler: the run is over and its room is free.
struct run_ended {
    std::uint64_t key = 0;
    run_end end = run_end::lost;
    core::duration_ms ran_for{};       ///< From start to end; 0 when it did not start.
    std::string reason{};              ///< Why the run did not succeed, for logs.
    core::duration_ms restart_delay{}; ///< How long the task must not start elsewhere.
};

/// What a holder says of one of its targets.
struct held_target {
    std::string id{};
    std::uint64_t incarnation = 0;
    std::string service{};
    std::string zone{};
    std::vector<std::string> labels{};
    core::room capacity{};
    core::room used_by_others{}; ///< By runs of other schedulers than the receiver.
    bool usable = false;

    bool operator==(const held_target&) const = default;
};

/// Holder to scheduler: all of the holder's targets.
struct target_report {
    std::vector<held_target> targets{};

    bool operator==(const target_report&) const = default;
};

/// Entry host to all others, regularly and whenever it changes.
struct host_presence {
    discovery::host_record host{};
    bool leaving = false; ///< Takes no new jobs and no targets any more.
    std::vector<std::string>
        held_targets{};                 ///< Targets that no other host may take over meanwhile.
    core::duration_ms scheduling_for{}; ///< How long it has scheduled jobs; 0 when it does not.
};

/// The order of the alternatives is part of the wire format: new ones go to the end.
using run_message = std::variant<submit_job, cancel_job, job_ended, start_run, stop_run, run_ended,
                                 target_report, host_presence, grant_run>;

/// A message for a host, which may be this one.
struct addressed_message {
    std::string host{};
    run_message message{};
};

} // namespace hawthornstall::runs
