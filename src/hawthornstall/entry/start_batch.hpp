#pragma once

/// Stage of an owner that gives decided starts the journal records on which they rest.

#include "hawthornstall/entry/open_jobs.hpp"
#include "hawthornstall/journal/records.hpp"
#include "hawthornstall/journal/submission_table.hpp"

#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace hawthornstall::entry {

/// Records that `job` is to appear with next: its registration, if it has none yet.
[[nodiscard]] journal::job_records make_records(open_job& job);

/// A decided start of one task of a submission.
struct decided_start {
    std::uint64_t job = 0;
    std::uint32_t task = 0;
    std::uint64_t run = 0;
};

/// Leave to start a task once an append is committed.
struct start_permit {
    std::uint32_t attempt = 0;             ///< Number in the journal.
    std::optional<std::uint64_t> append{}; ///< An earlier append; empty for that of the batch.
};

/// Pure. Starts of one turn, which share an append.
class start_batch {
public:
    explicit start_batch(const journal::submission_table& table) : table_(&table) {}

    /// Adds what the start needs. Empty when the journal rules the start out.
    [[nodiscard]] std::optional<start_permit> add(const decided_start& start, open_job& job);

    [[nodiscard]] std::span<const journal::job_records> records() const noexcept {
        return records_;
    }

    /// Runs that may be sent once the batch is committed.
    [[nodiscard]] std::span<const std::uint64_t> runs() const noexcept { return runs_; }

    /// The records were appended as `append`.
    void set_append(open_jobs& jobs, std::uint64_t append) const;

    /// The journal has not taken the records.
    void roll_back(open_jobs& jobs) const;

private:
    const journal::submission_table* table_;
    std::vector<journal::job_records> records_;
    std::vector<std::uint64_t> runs_;
    std::vector<std::uint64_t> registered_; ///< Jobs whose first record is among the records.
};

} // namespace hawthornstall::entry
