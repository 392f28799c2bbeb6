#include "hawthornstall/entry/admission_stage.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace hawthornstall::entry {
namespace detail {

/// Largest number of jobs that wait, while ownership is being taken (about one round trip) or until
/// the open jobs end and the scheduler is replaced. Further jobs are redirected.
constexpr std::size_t max_waiting_jobs = 10'000;

} // namespace detail

admission_decision admission_stage::decide(const core::job_request& request, bool is_open,
                                           const owner_state& owner) const {
    const bool needs_journal = request.id.has_value();
    if (is_open && owner.is_serving) {
        return admission_decision::admit;
    }
    if (owner.is_draining || (needs_journal && owner.journal_is_idle)) {
        return admission_decision::redirect;
    }
    if (!owner.scheduler_is_outdated && (!needs_journal || owner.is_serving)) {
        return admission_decision::admit;
    }
    return waiting_.size() < detail::max_waiting_jobs ? admission_decision::wait
                                                      : admission_decision::redirect;
}

std::vector<arrived_job> admission_stage::take_expired(core::time_ms now) {
    std::vector<arrived_job> expired;
    std::vector<arrived_job> waiting;
    for (auto& job : waiting_) {
        (job.deadline > now ? waiting : expired).push_back(std::move(job));
    }
    waiting_ = std::move(waiting);
    return expired;
}

} // namespace hawthornstall::entry
