#include "policy/placement_record.hpp"

#include <algorithm>

namespace hawthornstall::policy_bench {
namespace detail {

double ratio(std::int64_t part, std::int64_t whole) {
    return whole == 0 ? 0.0 : static_cast<double>(part) / static_cast<double>(whole);
}

} // namespace detail

double placement_counts::share(placement_outcome outcome) const {
    return detail::ratio(
        static_cast<std::int64_t>(by_outcome.at(static_cast<std::size_t>(outcome))),
        static_cast<std::int64_t>(jobs));
}

placement_record::placement_record(const placement_workload& plan)
    : plan_(plan), large_cpu_millis_(plan.large_cpu_millis()), answers_(plan.jobs.size()),
      unanswered_(plan.jobs.size()) {
    for (const auto& job : plan.jobs) {
        is_granted_.emplace_back(job.work.size());
    }
}

void placement_record::answered(std::size_t job, placement_outcome outcome) {
    if (++answers_.at(job) > 1) {
        ++result_.answered_twice;
        return;
    }
    --unanswered_;
    const auto& item = plan_.jobs.at(job);
    if (plan_.is_measured(item)) {
        for (auto* const counts : {&result_.all, &result_.by_queue.at(item.queue)}) {
            ++counts->jobs;
            ++counts->by_outcome.at(static_cast<std::size_t>(outcome));
        }
    }
}

void placement_record::granted(std::size_t job, std::size_t task, core::duration_ms now) {
    const auto& item = plan_.jobs.at(job);
    if (is_granted_.at(job).at(task)) {
        return;
    }
    is_granted_.at(job).at(task) = true;
    if (plan_.is_measured(item) && item.cpu_millis >= large_cpu_millis_) {
        large_waits_ms_.push_back(static_cast<double>((now - item.arrival).count()));
    }
}

core::duration_ms placement_record::measured_part(core::duration_ms begin,
                                                  core::duration_ms end) const {
    const auto first = std::max(begin, plan_.measured_from);
    const auto last = std::min(end, plan_.measured_until);
    return std::max(last - first, core::duration_ms{});
}

void placement_record::used(std::int64_t cpu_millis, core::duration_ms begin,
                            core::duration_ms end) {
    used_ += cpu_millis * measured_part(begin, end).count();
}

void placement_record::idle(std::size_t targets, core::duration_ms begin, core::duration_ms end) {
    idle_ += static_cast<std::int64_t>(targets) * measured_part(begin, end).count();
}

placement_result placement_record::result(bool is_idle_at_end) const {
    auto result = result_;
    result.is_idle_at_end = is_idle_at_end;
    result.unanswered = unanswered_;
    result.large_wait_ms = summarise(large_waits_ms_);
    std::int64_t large_tasks = 0;
    for (const auto& job : plan_.jobs) {
        if (plan_.is_measured(job) && job.cpu_millis >= large_cpu_millis_) {
            large_tasks += static_cast<std::int64_t>(job.work.size());
        }
    }
    const auto started = static_cast<std::int64_t>(large_waits_ms_.size());
    result.large_not_started = detail::ratio(large_tasks - started, large_tasks);
    std::int64_t cpu_time = 0;
    std::int64_t target_time = 0;
    for (const auto& target : plan_.targets) {
        auto time = measured_part(plan_.measured_from, plan_.measured_until);
        if (target.is_lost) {
            time -= measured_part(plan_.lost_at, plan_.returned_at);
        }
        cpu_time += target.cpu_millis * time.count();
        target_time += time.count();
    }
    result.used_share = detail::ratio(used_, cpu_time);
    result.idle_share = detail::ratio(idle_, target_time);
    return result;
}

} // namespace hawthornstall::policy_bench
