#include "hawthornstall/entry/forward_table.hpp"

#include <utility>

namespace hawthornstall::entry {

std::uint64_t forward_table::add(forwarded_job job) {
    const auto number = ++last_number_;
    retries_.emplace(job.retry_at, number);
    deadlines_.emplace(job.deadline, number);
    jobs_.emplace(number, std::move(job));
    return number;
}

std::optional<forwarded_job> forward_table::take(std::uint64_t number) {
    auto node = jobs_.extract(number);
    if (node.empty()) {
        return std::nullopt;
    }
    retries_.erase({node.mapped().retry_at, number});
    deadlines_.erase({node.mapped().deadline, number});
    return std::move(node.mapped());
}

forwarded_job* forward_table::find(std::uint64_t number) {
    const auto found = jobs_.find(number);
    return found == jobs_.end() ? nullptr : &found->second;
}

void forward_table::schedule(std::uint64_t number, core::time_ms retry_at) {
    if (auto* const job = find(number)) {
        retries_.erase({job->retry_at, number});
        job->retry_at = retry_at;
        retries_.emplace(retry_at, number);
    }
}

void forward_table::retry_jobs_sent_to(std::string_view host, core::time_ms now) {
    std::vector<std::uint64_t> lost;
    for (const auto& [number, job] : jobs_) {
        if (job.host == host) {
            lost.push_back(number);
        }
    }
    for (const auto number : lost) {
        schedule(number, now);
    }
}

std::vector<std::uint64_t> forward_table::due(core::time_ms now) const {
    std::vector<std::uint64_t> numbers;
    for (const auto& [retry_at, number] : retries_) {
        if (retry_at > now) {
            break;
        }
        numbers.push_back(number);
    }
    return numbers;
}

std::optional<core::time_ms> forward_table::next_due() const {
    return retries_.empty() ? std::nullopt : std::optional{retries_.begin()->first};
}

std::vector<forwarded_job> forward_table::take_expired(core::time_ms now) {
    std::vector<forwarded_job> expired;
    while (!deadlines_.empty() && deadlines_.begin()->first <= now) {
        expired.push_back(*take(deadlines_.begin()->second));
    }
    return expired;
}

} // namespace hawthornstall::entry
