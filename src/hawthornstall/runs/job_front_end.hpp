#pragma once

/// The front end's open jobs: those whose callers wait for an answer from this host.

#include "hawthornstall/runs/run_messages.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace hawthornstall::runs {

/// The answer to a caller's request.
struct job_answer {
    std::uint64_t request = 0; ///< Number of the request at the HTTP server.
    std::string job{};
    job_result result = job_result::lost;
    core::duration_ms retry_after{};
    std::string reason{};
    core::duration_ms age{}; ///< Since the request arrived.
};

/// A decision on a submission or a message about one, to be logged.
struct front_end_event {
    std::string_view what{}; ///< For example "grant_accepted".
    std::string job{};       ///< Id of the job; empty if the submission is not open any more.
    std::string scheduler{}; ///< Host that schedules the job or has sent the message.
    std::string detail{};
};

/// Messages to send, callers to answer and events to log, collected since the last take_effects().
struct front_end_effects {
    std::vector<addressed_message> messages{};
    std::vector<job_answer> answers{};
    std::vector<front_end_event> events{};
};

/// Submits jobs to the scheduler, passes granted runs on to lease holders and answers the callers.
/// Does no I/O. Each request that is opened gets exactly one answer. When it is not the result of
/// the job, the lease holders are told to stop the runs, since the caller may return. Each
/// submission has a number of its own that is not used again, so that messages of an earlier
/// submission are not taken for those of a later one.
class job_front_end {
public:
    /// Submissions count up from `first_number` + 1. `first_number` must be higher than all numbers
    /// of earlier processes of this host, since schedulers may still have submissions of theirs.
    /// No request has arrived before `started`.
    explicit job_front_end(std::uint64_t first_number = 0, core::time_ms started = {})
        : last_number_(first_number), started_(started) {}

    /// Submits a job whose request was read at `arrived` to `scheduler`. Without a scheduler the
    /// job is refused. `arrived` is `now` unless the request has waited for the configuration.
    void open(std::uint64_t request, job_request job, const std::optional<std::string>& scheduler,
              core::time_ms arrived, core::time_ms now);

    /// Sends a granted run to the lease holder of its target. A grant for a submission that is not
    /// open any more is ignored and the submission cancelled at the scheduler: a scheduler that was
    /// suspended may still process submissions that were answered long ago. Returns whether the
    /// grant was used.
    bool granted(std::string_view scheduler, const grant_run& grant);

    /// Answers the caller with the result of a job. The result of a submission that is not open any
    /// more is ignored.
    void ended(std::string_view scheduler, const job_ended& message, core::time_ms now);

    /// Cancels the job of a caller that has closed its connection.
    void caller_left(std::uint64_t request, core::time_ms now);

    /// Answers the callers that wait here for the job `id` that it is cancelled, and ends their
    /// submissions. Returns whether there was one.
    bool cancel(std::string_view id, core::time_ms now);

    /// Moves the jobs without a started run to `next`, which schedules from now on.
    void scheduler_changed(const std::string& next, core::time_ms now);

    /// Moves the jobs of an unreachable scheduler to `next` if no run of them was started. The
    /// others are answered as lost, and their callers may submit them again.
    void host_unreachable(std::string_view host, const std::optional<std::string>& next,
                          core::time_ms now);

    /// Answers and cancels the jobs whose deadline has passed without a result.
    void tick(core::time_ms now);

    [[nodiscard]] front_end_effects take_effects();

    /// Whether no job is open.
    [[nodiscard]] bool idle() const noexcept { return open_.empty(); }

private:
    /// A job whose caller waits for the answer.
    struct open_job {
        std::uint64_t request = 0;
        std::uint64_t first_number = 0; ///< Number of its first submission.
        job_request job{};
        std::string scheduler{};
        core::time_ms arrived{};
        core::time_ms expires_at{};
        core::time_ms caller_leaves_at{}; ///< The caller waits at least until then.
        std::set<std::string> holders{};  ///< Lease holders that were told to start a run.

        [[nodiscard]] bool run_started() const noexcept { return !holders.empty(); }
    };

    using open_map = std::map<std::uint64_t, open_job>;

    void submit(const open_map::value_type& item, core::time_ms now);
    void resubmit(open_map::iterator position, const std::string& next, core::time_ms now);
    void reassign_or_finish(open_map::iterator position, const std::optional<std::string>& next,
                            core::time_ms now);
    [[nodiscard]] core::time_ms earliest_arrival(core::time_ms read_at,
                                                 core::time_ms now) const noexcept;
    [[nodiscard]] open_map::iterator find(std::string_view scheduler, std::uint64_t number);
    [[nodiscard]] bool is_up_to(open_map::iterator position, std::uint64_t last);
    open_map::iterator finish(open_map::iterator position, const job_ended& end, core::time_ms now);

    core::time_ms last_tick_{};
    core::time_ms tick_before_last_{};
    open_map open_; ///< By the number of the present submission.
    std::uint64_t last_number_;
    core::time_ms started_;
    front_end_effects effects_;
};

} // namespace hawthornstall::runs
