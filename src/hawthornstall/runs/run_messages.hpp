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

/// Front end to scheduler: schedule a job. The specification is left out: the front end sends it to
/// the lease holders itself.
struct submit_job {
    std::uint64_t number = 0; ///< Unique among the submissions of all processes of the sender.
    std::uint64_t first_number = 0; ///< Number of the first submission for the same request.
    job_request job{};
    core::duration_ms age{}; ///< Since the caller's request arrived.
};

/// Scheduler to front end: start a run on a target through the target's lease holder.
struct grant_run {
    std::uint64_t number = 0; ///< Number of the submission.
    std::uint64_t key = 0;    ///< Unique among the sender's runs.
    std::string holder{};
    std::string target{};
    std::uint32_t step = 0;
    std::uint32_t index = 0;
    std::uint32_t run = 0; ///< Number of the run among those of the task.
};

/// Front end to scheduler: nobody waits for the result of a submission any more.
struct cancel_job {
    std::uint64_t number = 0; ///< Number of the submission.
};

/// Front end to scheduler: a caller asks for the end of a job, whose own caller may be connected to
/// another front end. Answered by cancel_result.
struct cancel_by_id {
    std::uint64_t number = 0; ///< Unique among the requests of the sender; repeated in the answer.
    std::string job{};
};

/// Scheduler to front end: the answer to cancel_by_id.
struct cancel_result {
    std::uint64_t number = 0;
    bool found = false; ///< The job was known; it ends, and its callers get their answers.
};

/// Scheduler to front end: the result of a job.
struct job_ended {
    std::uint64_t number = 0; ///< Number of the submission.
    job_result result = job_result::lost;
    core::duration_ms retry_after{}; ///< Earliest resubmission of a refused job; 0 if unknown.
    std::string reason{};
};

/// Front end to lease holder: start a run that the scheduler has granted. The run is stopped when
/// the front end cannot be reached, and its lease ends before the caller returns.
struct start_run {
    std::string scheduler{}; ///< Host that granted the run and gets its run_ended.
    std::uint64_t key = 0;   ///< `run_key::number` of the run.
    std::string target{};
    run_name run{};
    std::string specification{};
    core::resources resources{};
    std::uint64_t submission = 0;     ///< Number of the submission at the front end.
    core::time_ms caller_leaves_at{}; ///< On the front end's steady clock.
};

/// Front end to lease holder: nobody waits for the result of a submission any more, and its caller
/// may submit the job again. Stop its runs.
struct stop_submission {
    std::uint64_t number = 0; ///< Number of the submission.
};

/// Scheduler to lease holder: stop a run, or do not start it if its start_run arrives later.
struct stop_run {
    std::uint64_t key = 0;
    std::string target{};
};

/// Lease holder to scheduler: a run has ended and its resources are free.
struct run_ended {
    std::uint64_t key = 0;
    run_end end = run_end::lost;
    /// From the arrival of start_run at the lease holder to the end; 0 if rejected at once.
    core::duration_ms ran_for{};
    std::string reason{};              ///< Why the run did not succeed, for logs.
    core::duration_ms restart_delay{}; ///< How long the task must not start elsewhere.
};

/// State of one target, as its lease holder reports it.
struct held_target {
    std::string id{};
    std::uint64_t incarnation = 0;
    std::string service{};
    std::string zone{};
    std::vector<std::string> labels{};
    core::resources capacity{};
    core::resources used_by_others{}; ///< Used by runs of schedulers other than the receiver.
    bool usable = false;              ///< Whether new runs can be started.
    bool cold = false; ///< Runs take longer than usual, since the target has just started.

    bool operator==(const held_target&) const = default;
};

/// Lease holder to scheduler: all targets of the holder.
struct target_report {
    std::vector<held_target> targets{};

    bool operator==(const target_report&) const = default;
};

/// Heartbeat from an entry host to all others, sent regularly and whenever its content changes.
struct host_presence {
    discovery::host_record host{};
    bool leaving = false; ///< Shutting down: takes no new jobs and no new targets.
    std::vector<std::string> held_targets{}; ///< Targets that no other host may claim meanwhile.
    core::duration_ms scheduling_for{}; ///< How long it has been the scheduler; 0 if it is not.
};

/// Scheduler to lease holder, whenever their link is up again: the scheduler has given up all runs
/// on the holder's targets that it has granted so far. Their start messages come from front ends
/// and may arrive later.
struct revoke_runs {
    std::uint64_t last_key = 0; ///< `run_key::number` of the last run that was granted.
};

/// Any message between entry hosts. The order of the alternatives is part of the wire format: new
/// ones go to the end.
using run_message = std::variant<submit_job, cancel_job, job_ended, start_run, stop_run, run_ended,
                                 target_report, host_presence, grant_run, revoke_runs,
                                 stop_submission, cancel_by_id, cancel_result>;

/// A message with its receiver, which may be this host.
struct addressed_message {
    std::string host{};
    run_message message{};
};

} // namespace hawthornstall::runs
