#include "policy/run_record.hpp"

#include <algorithm>

namespace hawthornstall::policy_bench {
namespace detail {

/// Whether an answer at `now` counts towards goodput. The first tenth of the run is left out, while
/// the targets fill up, and so is all that comes after the last arrival.
bool in_goodput_window(const workload& plan, virtual_us now) {
    const auto length = plan.parameters.length.count() * us_per_ms;
    return now >= length / 10 && now < length;
}

} // namespace detail

run_record::run_record(const workload& plan)
    : plan_(plan), ideal_(plan.targets), jobs_(plan.jobs.size()) {
    for (std::size_t index = 0; index < jobs_.size(); ++index) {
        jobs_[index].answered.resize(plan.jobs[index].work_ms.size());
        jobs_[index].runs.resize(plan.jobs[index].work_ms.size());
    }
}

void run_record::on_run(std::uint32_t job, std::uint32_t task) {
    auto& runs = jobs_[job].runs[task];
    if (runs > 0 && !plan_.jobs[job].idempotent) {
        ++breaches_.repeated_starts;
    }
    runs = static_cast<std::uint8_t>(std::min(runs + 1, 255));
}

void run_record::on_answer(std::uint32_t job, std::uint32_t task, double messages, virtual_us now) {
    auto& record = jobs_[job];
    if (record.answered[task] != 0 || record.ends > 0) {
        return; // A repeated answer, or one for a job that has ended, is wasted.
    }
    record.answered[task] = 1;
    record.useful_messages += messages;
    if (detail::in_goodput_window(plan_, now)) {
        record.useful_work_ms += plan_.jobs[job].work_ms[task];
    }
}

void run_record::on_end(std::uint32_t job, const scheduling::end_decision& end, double messages,
                        virtual_us now) {
    auto& record = jobs_[job];
    ++record.ends;
    record.outcome = end.outcome;
    record.reason = end.reason;
    record.end = now;
    record.useful_messages += messages;
    const auto& plan = plan_.jobs[job];
    const bool late = now > plan.arrival + plan_.deadline.count() * us_per_ms;
    const bool ran = std::any_of(record.runs.begin(), record.runs.end(),
                                 [](std::uint8_t runs) { return runs > 0; });
    const bool whole = std::all_of(record.answered.begin(), record.answered.end(),
                                   [](std::uint8_t answered) { return answered != 0; });
    if (end.outcome == core::outcome_class::refused_not_run) {
        breaches_.false_refusals += ran ? 1 : 0;
        breaches_.late_refusals += late ? 1 : 0;
    } else if (end.outcome == core::outcome_class::answered && !whole) {
        ++breaches_.partial_answers;
    }
}

void run_record::add_job(run_result& result, std::uint32_t index, std::vector<double>& ratios,
                         double& charged) const {
    const auto& record = jobs_[index];
    const auto& plan = plan_.jobs[index];
    const auto deadline_ms = static_cast<double>(plan_.deadline.count());
    const double ideal_ms = ideal_.response_ms(plan.work_ms);
    const double response_ms = static_cast<double>(record.end - plan.arrival) / us_per_ms;
    result.breaches.ended_not_once += record.ends == 1 ? 0 : 1;
    if (record.cancelled) {
        ++result.cancelled_jobs;
        return;
    }
    if (record.outcome == core::outcome_class::answered && response_ms <= deadline_ms) {
        ++result.answered_jobs;
        result.served_tasks += plan.work_ms.size();
        ratios.push_back(response_ms / ideal_ms);
        charged += response_ms / ideal_ms;
        return;
    }
    charged += std::max(deadline_ms, ideal_ms) / ideal_ms;
    if (record.outcome == core::outcome_class::refused_not_run) {
        ++result.refused_jobs;
    } else if (response_ms >= deadline_ms || record.reason == scheduling::end_reason::deadline) {
        ++result.missed_deadlines;
    } else {
        ++result.failed_jobs;
    }
}

run_result run_record::result() const {
    run_result result;
    result.workload = name_of(plan_.parameters);
    result.jobs = jobs_.size();
    result.tasks = plan_.task_count();
    result.breaches = breaches_;
    std::vector<double> ratios;
    double charged = 0.0;
    double useful_messages = 0.0;
    double useful_work_ms = 0.0;
    std::uint64_t idempotent = 0;
    std::uint64_t idempotent_answered = 0;
    for (std::uint32_t index = 0; index < jobs_.size(); ++index) {
        const auto served_before = result.served_tasks;
        add_job(result, index, ratios, charged);
        const bool served = result.served_tasks > served_before;
        const auto tasks = plan_.jobs[index].work_ms.size();
        useful_messages += served ? jobs_[index].useful_messages : 0.0;
        useful_work_ms += served ? jobs_[index].useful_work_ms : 0.0;
        if (plan_.jobs[index].idempotent && !jobs_[index].cancelled) {
            idempotent += tasks;
            idempotent_answered += served ? tasks : 0;
        }
    }
    const auto served = static_cast<double>(std::max<std::uint64_t>(1, result.served_tasks));
    const auto counted = static_cast<double>(jobs_.size() - result.cancelled_jobs);
    const double window_ms = 0.9 * static_cast<double>(plan_.parameters.length.count());
    result.ratio = summarise(std::move(ratios));
    result.charged_ratio = charged / std::max(1.0, counted);
    result.messages_per_task = messages_ / served;
    // Tasks share the messages of a start record, so the counts are fractions. A difference below
    // this is a rounding error.
    constexpr double rounding_error = 1e-6;
    const double wasted = messages_ - useful_messages;
    result.wasted_per_served_task = wasted > rounding_error ? wasted / served : 0.0;
    result.goodput = useful_work_ms / (plan_.total_speed() * window_ms);
    result.idempotent_answered = idempotent == 0 ? 1.0
                                                 : static_cast<double>(idempotent_answered) /
                                                       static_cast<double>(idempotent);
    return result;
}

} // namespace hawthornstall::policy_bench
