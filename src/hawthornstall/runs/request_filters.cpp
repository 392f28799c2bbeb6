#include "hawthornstall/runs/request_filters.hpp"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace hawthornstall::runs {
namespace detail {

/// Upper limit of tasks per job. The largest jobs that the design provides for have 690 tasks.
constexpr std::uint32_t max_tasks = 4'096;

std::string_view find_problem(const job_step& step, std::size_t index) {
    const bool is_ordered =
        std::ranges::all_of(step.after, [&](std::uint32_t earlier) { return earlier < index; });
    if (!is_ordered) {
        return "a step may only come after earlier steps";
    }
    if (!step.resources.holds({}) || !max_request.holds(step.resources)) {
        return "the resource request of a task is negative or too large";
    }
    if (step.estimated < core::duration_ms{0} || step.estimated > max_time) {
        return "the run time of a task is negative or too long";
    }
    return {};
}

/// Whether the declared work of a job is at most max_work. The product is formed as a floating
/// point number, since it may exceed 64 bits.
bool has_permitted_work(const job_request& job) {
    double work = 0.0;
    for (const auto& step : job.steps) {
        work += static_cast<double>(step.count) * static_cast<double>(step.resources.cpu_millis) *
                static_cast<double>(step.estimated.count());
    }
    return work <= static_cast<double>(max_work);
}

std::string_view find_problem(const job_request& job) {
    std::uint64_t tasks = 0;
    for (std::size_t index = 0; index < job.steps.size(); ++index) {
        if (const auto problem = find_problem(job.steps[index], index); !problem.empty()) {
            return problem;
        }
        tasks += job.steps[index].count;
    }
    if (tasks == 0 || tasks > max_tasks || job.steps.size() > max_tasks) {
        return "a job has 1 to 4096 tasks, in at most as many steps";
    }
    return has_permitted_work(job) ? "" : "the work of the job is too large";
}

} // namespace detail

absl::Status check_job(const job_request& job) {
    const auto problem = detail::find_problem(job);
    return problem.empty() ? absl::OkStatus()
                           : core::make_error(absl::StatusCode::kInvalidArgument,
                                              {.step = "check_job", .peer = {}}, problem);
}

} // namespace hawthornstall::runs
