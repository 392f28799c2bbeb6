#include "hawthornstall/runs/request_filters.hpp"

#include <algorithm>
#include <utility>

namespace hawthornstall::runs {
namespace detail {

/// Upper limit of tasks per job. The largest jobs that the design provides for have 690 tasks.
constexpr std::uint32_t max_tasks = 4'096;

} // namespace detail

absl::Status check_job(const job_request& job) {
    constexpr core::error_origin origin{.step = "check_job", .peer = {}};
    std::uint64_t tasks = 0;
    for (std::size_t index = 0; index < job.steps.size(); ++index) {
        const auto& step = job.steps[index];
        tasks += step.count;
        const bool is_ordered =
            std::ranges::all_of(step.after, [&](std::uint32_t earlier) { return earlier < index; });
        if (!is_ordered) {
            return core::make_error(absl::StatusCode::kInvalidArgument, origin,
                                    "a step may only come after earlier steps");
        }
    }
    if (tasks == 0 || tasks > detail::max_tasks) {
        return core::make_error(absl::StatusCode::kInvalidArgument, origin,
                                "a job has 1 to 4096 tasks");
    }
    return absl::OkStatus();
}

} // namespace hawthornstall::runs
