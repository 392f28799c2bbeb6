#pragma once

/// Index of the jobs that the owner of a shard runs, by number and by submission.

#include "hawthornstall/entry/open_job.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace hawthornstall::entry {

/// Numbers start at 1 and are never reused.
class open_jobs {
public:
    /// Number that the next job gets.
    [[nodiscard]] std::uint64_t next_number() const noexcept { return last_number_ + 1; }

    /// Adds a job and returns its number.
    std::uint64_t add(open_job job);

    /// Removes a job; an unknown number is ignored.
    void erase(std::uint64_t number);

    /// The job, or nullptr when the number is unknown.
    [[nodiscard]] open_job* find(std::uint64_t number);
    /// The job, which must exist.
    [[nodiscard]] open_job& at(std::uint64_t number) { return jobs_.at(number); }
    [[nodiscard]] const open_job& at(std::uint64_t number) const { return jobs_.at(number); }

    /// Number of the open job of this submission; empty when there is none.
    [[nodiscard]] std::optional<std::uint64_t>
    number_of(const journal::submission_key& submission) const;

    [[nodiscard]] bool empty() const noexcept { return jobs_.empty(); }

    /// Numbers of the jobs that `matches` accepts, in no particular order.
    template <class Predicate> [[nodiscard]] std::vector<std::uint64_t> where(Predicate matches) {
        std::vector<std::uint64_t> numbers;
        for (const auto& [number, job] : jobs_) {
            if (matches(job)) {
                numbers.push_back(number);
            }
        }
        return numbers;
    }

private:
    std::uint64_t last_number_ = 0;
    std::unordered_map<std::uint64_t, open_job> jobs_;
    std::map<journal::submission_key, std::uint64_t> by_submission_;
};

} // namespace hawthornstall::entry
