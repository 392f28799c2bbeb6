#pragma once

/// What the simulation records during one run.

#include "hawthornstall/scheduling/decisions.hpp"
#include "policy/ideal.hpp"
#include "policy/run_result.hpp"
#include "policy/workload.hpp"

#include <optional>
#include <vector>

namespace hawthornstall::policy_bench {

/// What happened to one job.
struct job_record {
    std::vector<std::uint8_t> answered; ///< Whether each task has been answered.
    std::vector<std::uint8_t> runs;     ///< How often a target began each task; at most 255.
    double useful_messages = 0.0;       ///< Messages that its answer needed; all others are wasted.
    double useful_work_ms = 0.0;        ///< Work of the tasks answered in the goodput window.
    std::uint32_t ends = 0;             ///< Number of end decisions; exactly 1 in a correct run.
    bool cancelled = false;
    std::optional<core::outcome_class> outcome;
    scheduling::end_reason reason = scheduling::end_reason::none;
    virtual_us end = 0; ///< When the answer reached the entry host.
};

/// Counts messages, starts, answers and ends, and the breaches of the specification that they show.
class run_record {
public:
    explicit run_record(const workload& plan);

    void count_messages(double number) { messages_ += number; }
    [[nodiscard]] job_record& job(std::uint32_t index) { return jobs_[index]; }

    /// Records that a target began a task.
    void on_run(std::uint32_t job, std::uint32_t task);
    /// Records an answer of a task that needed `messages` messages.
    void on_answer(std::uint32_t job, std::uint32_t task, double messages, virtual_us now);
    /// Records an end decision that needed `messages` messages and reaches the entry host at `now`.
    void on_end(std::uint32_t job, const scheduling::end_decision& end, double messages,
                virtual_us now);
    void on_overfilled_target() { ++breaches_.overfilled_targets; }

    /// Evaluates the run; call it after the last event.
    [[nodiscard]] run_result result() const;

private:
    /// Adds one job to the counts of `result`, to the response time ratios and to the sum
    /// `charged`.
    void add_job(run_result& result, std::uint32_t index, std::vector<double>& ratios,
                 double& charged) const;

    const workload& plan_;
    ideal_bound ideal_;
    std::vector<job_record> jobs_;
    double messages_ = 0.0;
    specification_breaches breaches_;
};

} // namespace hawthornstall::policy_bench
