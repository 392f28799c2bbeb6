#pragma once

/// Collects the journal records on which task starts depend.

#include "hawthornstall/entry/open_jobs.hpp"
#include "hawthornstall/journal/records.hpp"
#include "hawthornstall/journal/submission_table.hpp"

#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace hawthornstall::entry {

/// Returns records for `job` without starts or ends. The first call for a job includes its
/// registration and sets `job.registered`.
[[nodiscard]] journal::job_records make_records(open_job& job);

/// A start that the scheduler has decided, of one task of a submission.
struct decided_start {
    std::uint64_t job = 0;
    std::uint32_t task = 0;
    std::uint64_t run = 0;
};

/// Permission to start a task once an append is committed.
struct start_permit {
    std::uint32_t attempt = 0; ///< Attempt number in the journal.
    /// Sequence number of the earlier append that the start depends on; empty if it depends on the
    /// batch's own append.
    std::optional<std::uint64_t> sequence{};
};

/// The starts of one scheduling round, which share one append.
class start_batch {
public:
    explicit start_batch(const journal::submission_table& table) : table_(&table) {}

    /// Adds the records that the start needs. Empty when the journal forbids the start.
    [[nodiscard]] std::optional<start_permit> add(const decided_start& start, open_job& job);

    [[nodiscard]] std::span<const journal::job_records> records() const noexcept {
        return records_;
    }

    /// Runs that may be sent once the append of the batch is committed.
    [[nodiscard]] std::span<const std::uint64_t> runs() const noexcept { return runs_; }

    /// Stores the sequence number of the batch's append in the jobs that it registers.
    void set_sequence(open_jobs& jobs, std::uint64_t sequence) const;

    /// Resets the jobs that the batch would have registered, when the append was refused.
    void roll_back(open_jobs& jobs) const;

private:
    const journal::submission_table* table_;
    std::vector<journal::job_records> records_;
    std::vector<std::uint64_t> runs_;
    std::vector<std::uint64_t> registered_; ///< Jobs that the batch registers.
};

} // namespace hawthornstall::entry
