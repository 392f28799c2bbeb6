#include "load/answer_check.hpp"

#include "hawthornstall/http/job_body.hpp"

#include <algorithm>

namespace hawthornstall::tools {
namespace detail {

verdict check_results(const core::job_request& job, const core::job_answer& answer) {
    if (answer.results.size() != job.tasks.size()) {
        return verdict::partial;
    }
    const bool equal_payloads =
        std::ranges::equal(answer.results, job.tasks, {}, {}, &core::task_request::payload);
    return equal_payloads ? verdict::answered : verdict::crossed;
}

} // namespace detail

verdict check_answer(const core::job_request& job, const net::exchange_result& result) {
    if (result.outcome != net::exchange_outcome::answered) {
        return result.outcome == net::exchange_outcome::not_sent ? verdict::not_sent
                                                                 : verdict::missing;
    }
    const auto answer = http::decode_job_answer(result.body);
    if (!answer.ok()) {
        return verdict::unreadable;
    }
    if (job.id && answer->id && *answer->id != *job.id) {
        return verdict::crossed;
    }
    switch (answer->outcome) {
    case core::outcome_class::answered:
        return detail::check_results(job, *answer);
    case core::outcome_class::refused_not_run:
        return verdict::refused_not_run;
    case core::outcome_class::failed:
        return verdict::failed;
    case core::outcome_class::may_have_run:
        return verdict::may_have_run;
    }
    return verdict::unreadable;
}

} // namespace hawthornstall::tools
