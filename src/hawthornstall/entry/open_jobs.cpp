#include "hawthornstall/entry/open_jobs.hpp"

#include <utility>

namespace hawthornstall::entry {

std::uint64_t open_jobs::add(open_job job) {
    const auto number = ++last_number_;
    if (job.submission) {
        by_submission_.emplace(*job.submission, number);
    }
    jobs_.emplace(number, std::move(job));
    return number;
}

void open_jobs::erase(std::uint64_t number) {
    if (const auto found = jobs_.find(number); found != jobs_.end()) {
        if (found->second.submission) {
            by_submission_.erase(*found->second.submission);
        }
        jobs_.erase(found);
    }
}

open_job* open_jobs::find(std::uint64_t number) {
    const auto found = jobs_.find(number);
    return found == jobs_.end() ? nullptr : &found->second;
}

std::optional<std::uint64_t> open_jobs::number_of(const journal::submission_key& submission) const {
    const auto found = by_submission_.find(submission);
    return found == by_submission_.end() ? std::nullopt : std::optional{found->second};
}

} // namespace hawthornstall::entry
