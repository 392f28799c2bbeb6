#include "hawthornstall/runs/job_record.hpp"

#include <algorithm>
#include <utility>

namespace hawthornstall::runs {
namespace detail {

/// A result that takes longer than this many times the objective is useless, even if the deadline
/// is later: callers have given up on it.
constexpr int useful_factor = 3;

core::duration_ms scaled(core::duration_ms time, double factor) {
    return core::duration_ms{
        static_cast<core::duration_ms::rep>(factor * static_cast<double>(time.count()))};
}

} // namespace detail

core::duration_ms critical_path_time(const job_request& job) {
    std::vector<core::duration_ms> end_times;
    core::duration_ms longest{};
    for (const auto& step : job.steps) {
        core::duration_ms start{};
        for (const auto earlier : step.after) {
            start = std::max(start, end_times.at(earlier));
        }
        end_times.push_back(start + step.estimated);
        longest = std::max(longest, end_times.back());
    }
    return longest;
}

bool is_ready(const job_record& job, std::uint32_t step) {
    const auto& after = job.request.steps.at(step).after;
    return std::ranges::all_of(job.tasks, [&](const task_record& task) {
        return task.state == task_record::phase::done ||
               std::ranges::find(after, task.step) == after.end();
    });
}

core::duration_ms expected_time(const job_record& job) {
    // Declared run times are off by half. A job that starts with just its declared time left is
    // most likely late, and occupies resources of a job that would be in time.
    constexpr double run_time_margin = 1.3;
    constexpr core::duration_ms round_trip{15};
    return round_trip + detail::scaled(job.critical_path, run_time_margin);
}

std::int64_t work_of(const job_step& step) {
    return step.resources.cpu_millis * step.estimated.count();
}

job_record make_job_record(job_request request, core::time_ms now) {
    job_record job;
    const auto critical_path = critical_path_time(request);
    const auto objective =
        detail::scaled(critical_path, request.terms.stretch) + request.terms.latency_target;
    job.critical_path = critical_path;
    job.arrived = now;
    job.due = now + objective;
    job.useful_until = now + std::min(request.terms.deadline, detail::useful_factor * objective);
    for (std::uint32_t step = 0; step < request.steps.size(); ++step) {
        for (std::uint32_t index = 0; index < request.steps[step].count; ++index) {
            auto& task = job.tasks.emplace_back();
            task.step = step;
            task.index = index;
            ++job.pending_tasks;
            job.pending_work += work_of(request.steps[step]);
        }
    }
    job.request = std::move(request);
    return job;
}

} // namespace hawthornstall::runs
