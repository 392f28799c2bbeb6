#pragma once

/// Bookkeeping of one run: messages, ends of jobs, breaches of the specification.

#include "hawthornstall/scheduling/decisions.hpp"
#include "policy/ideal.hpp"
#include "policy/run_result.hpp"
#include "policy/workload.hpp"

#include <optional>
#include <vector>

namespace hawthornstall::policy_bench {

/// Messages of one job that its answer needed; all other messages are wasted.
struct job_record {
    std::vector<std::uint8_t> answered; ///< One per task.
    std::vector<std::uint8_t> runs;     ///< Times that a target began the task.
    double useful_messages = 0.0;
    double useful_work_ms = 0.0; ///< Work of answers that came while jobs arrived.
    std::uint32_t ends = 0;
    bool cancelled = false;
    std::optional<core::outcome_class> outcome;
    scheduling::end_reason reason = scheduling::end_reason::none;
    virtual_us end = 0; ///< When the answer reached the entry host.
};

class run_record {
public:
    explicit run_record(const workload& plan);

    void count_messages(double number) { messages_ += number; }
    [[nodiscard]] job_record& job(std::uint32_t index) { return jobs_[index]; }

    void on_run(std::uint32_t job, std::uint32_t task);
    void on_answer(std::uint32_t job, std::uint32_t task, double messages, virtual_us now);
    void on_end(std::uint32_t job, const scheduling::end_decision& end, double messages,
                virtual_us now);
    void on_overfilled_target() { ++breaches_.overfilled_targets; }

    [[nodiscard]] run_result result() const;

private:
    void add_job(run_result& result, std::uint32_t index, std::vector<double>& ratios,
                 double& charged) const;

    const workload& plan_;
    ideal_bound ideal_;
    std::vector<job_record> jobs_;
    double messages_ = 0.0;
    legality breaches_;
};

} // namespace hawthornstall::policy_bench
