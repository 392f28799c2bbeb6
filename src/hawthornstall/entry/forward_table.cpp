#include "hawthornstall/entry/forward_table.hpp"

#include <utility>

namespace hawthornstall::entry {

std::uint64_t forward_table::add(forwarded_job job) {
    const auto number = ++last_number_;
    jobs_.emplace(number, std::move(job));
    return number;
}

std::optional<forwarded_job> forward_table::take(std::uint64_t number) {
    auto node = jobs_.extract(number);
    if (node.empty()) {
        return std::nullopt;
    }
    return std::move(node.mapped());
}

forwarded_job* forward_table::find(std::uint64_t number) {
    const auto found = jobs_.find(number);
    return found == jobs_.end() ? nullptr : &found->second;
}

void forward_table::host_lost(std::string_view host, core::time_ms now) {
    for (auto& [number, job] : jobs_) {
        if (job.host == host) {
            job.retry_at = now;
        }
    }
}

std::vector<std::uint64_t> forward_table::due(core::time_ms now) const {
    std::vector<std::uint64_t> numbers;
    for (const auto& [number, job] : jobs_) {
        if (job.retry_at <= now) {
            numbers.push_back(number);
        }
    }
    return numbers;
}

std::vector<forwarded_job> forward_table::take_expired(core::time_ms now) {
    std::vector<forwarded_job> expired;
    for (auto position = jobs_.begin(); position != jobs_.end();) {
        if (position->second.deadline <= now) {
            expired.push_back(std::move(position->second));
            position = jobs_.erase(position);
        } else {
            ++position;
        }
    }
    return expired;
}

} // namespace hawthornstall::entry
