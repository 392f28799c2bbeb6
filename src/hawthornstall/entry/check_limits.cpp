#include "hawthornstall/entry/check_limits.hpp"

#include "hawthornstall/core/error.hpp"

#include <string>
#include <utility>

namespace hawthornstall::entry {
namespace detail {

absl::Status beyond_limit(const std::string& problem) {
    return core::make_error(absl::StatusCode::kInvalidArgument,
                            {.step = "check_limits", .peer = {}}, problem);
}

absl::Status check_tasks(const core::job_request& job, const core::acceptance_rules& rules) {
    if (job.tasks.size() > rules.max_tasks_per_job) {
        return beyond_limit("the job has " + std::to_string(job.tasks.size()) +
                            " tasks; the service accepts at most " +
                            std::to_string(rules.max_tasks_per_job));
    }
    for (std::size_t index = 0; index < job.tasks.size(); ++index) {
        if (job.tasks[index].payload.size() > rules.max_payload_bytes) {
            return beyond_limit("tasks[" + std::to_string(index) + "].payload has " +
                                std::to_string(job.tasks[index].payload.size()) +
                                " bytes; the service accepts at most " +
                                std::to_string(rules.max_payload_bytes));
        }
    }
    return absl::OkStatus();
}

} // namespace detail

absl::StatusOr<decoded_call> check_limits::operator()(resolved_call resolved) const {
    auto& job = resolved.call.job;
    const auto& document = *resolved.document;
    if (auto status = detail::check_tasks(job, document.accepts); !status.ok()) {
        return status;
    }
    if (resolved.call.kind == call_kind::single_task && job.tasks.size() != 1) {
        return detail::beyond_limit("a request has exactly one task; send a job instead");
    }
    if (job.deadline > document.terms.max_deadline) {
        return detail::beyond_limit("deadline_ms is " + std::to_string(job.deadline.count()) +
                                    "; the service accepts at most " +
                                    std::to_string(document.terms.max_deadline.count()));
    }
    if (job.deadline.count() == 0) {
        job.deadline = document.terms.default_deadline;
    }
    return std::move(resolved.call);
}

} // namespace hawthornstall::entry
