#pragma once

/// Pipeline stage of a shard that collects the journal records which task starts depend on.

#include "hawthornstall/entry/open_jobs.hpp"
#include "hawthornstall/journal/records.hpp"
#include "hawthornstall/journal/submission_table.hpp"

#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace hawthornstall::entry {

/// Begins the next records of `job`. They hold its registration unless an earlier call has returned
/// it; the job counts as registered from then on.
[[nodiscard]] journal::job_records make_records(open_job& job);

/// A start that the scheduler has decided, of one task of a submission.
struct decided_start {
    std::uint64_t job = 0;
    std::uint32_t task = 0;
    std::uint64_t run = 0;
};

/// Permission to start a task once an append is committed.
struct start_permit {
    std::uint32_t attempt = 0;             ///< Attempt number in the journal.
    std::optional<std::uint64_t> append{}; ///< An earlier append; empty for the batch's own.
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
    void set_append(open_jobs& jobs, std::uint64_t append) const;

    /// Resets the jobs that the batch would have registered, when the append was refused.
    void roll_back(open_jobs& jobs) const;

private:
    const journal::submission_table* table_;
    std::vector<journal::job_records> records_;
    std::vector<std::uint64_t> runs_;
    std::vector<std::uint64_t> registered_; ///< Jobs that the batch registers.
};

} // namespace hawthornstall::entry
