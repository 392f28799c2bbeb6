#pragma once

/// Jobs of this host's callers that wait for the answer of their owner, on this or another host.

#include "hawthornstall/core/job.hpp"
#include "hawthornstall/entry/reply_address.hpp"

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace hawthornstall::entry {

/// A job that waits for the answer of its owner.
struct forwarded_job {
    reply_address reply_to;
    std::string zone; ///< Home zone of the job; its owner is asked.
    std::string host; ///< Host that was asked last; empty while none is known.
    core::time_ms deadline{};
    core::time_ms retry_at{}; ///< When to ask again; set by forward_table::schedule.
    /// Requests sent to owners without a not_owner reply; while there is one, the job may have run.
    std::uint32_t unresolved_requests = 0;
    bool id_from_caller = false; ///< An earlier submission may have run.
    core::job_request job;
};

/// Tracks when each job has to be sent again and when it expires. Sending a job again is safe if it
/// has an identifier, by which the owner deduplicates it, or is idempotent.
class forward_table {
public:
    /// Jobs count up from `last_earlier_number` + 1.
    explicit forward_table(std::uint64_t last_earlier_number) : last_number_(last_earlier_number) {}

    /// Adds a job and returns its number.
    std::uint64_t add(forwarded_job job);

    /// Removes and returns the job; empty when it is unknown because it was answered or expired.
    [[nodiscard]] std::optional<forwarded_job> take(std::uint64_t number);

    /// The job, or nullptr when the number is unknown.
    [[nodiscard]] forwarded_job* find(std::uint64_t number);

    /// Sets when a job is sent again.
    void schedule(std::uint64_t number, core::time_ms retry_at);

    /// Schedules every job whose last request went to `host` to be sent again at `now`.
    void retry_jobs_sent_to(std::string_view host, core::time_ms now);

    /// Numbers of the jobs whose time to be sent (again) has come.
    [[nodiscard]] std::vector<std::uint64_t> due(core::time_ms now) const;

    /// Earliest time at which due() returns a job.
    [[nodiscard]] std::optional<core::time_ms> next_due() const;

    /// Removes and returns the jobs whose deadline has passed.
    [[nodiscard]] std::vector<forwarded_job> take_expired(core::time_ms now);

    [[nodiscard]] std::size_t size() const noexcept { return jobs_.size(); }

private:
    std::uint64_t last_number_;
    std::unordered_map<std::uint64_t, forwarded_job> jobs_;
    std::set<std::pair<core::time_ms, std::uint64_t>> retries_;
    std::set<std::pair<core::time_ms, std::uint64_t>> deadlines_;
};

} // namespace hawthornstall::entry
