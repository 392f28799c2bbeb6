#pragma once

/// Counts and latencies of a load run.

#include "load/answer_check.hpp"
#include "load/latency_histogram.hpp"

#include <array>
#include <cstdint>
#include <string>

namespace hawthornstall::tools {

/// Counts of submitted jobs by verdict and latencies of answered jobs. A latency starts at the time
/// at which the job was due, so that it includes a delay of the submission by a slow system.
struct load_results {
    std::uint64_t submitted = 0;
    std::uint64_t resubmitted = 0;
    std::uint64_t tasks = 0;
    /// Ended jobs, indexed by verdict.
    std::array<std::uint64_t, verdict_names.size()> verdict_counts{};
    latency_histogram answered; ///< Latencies of answered jobs.

    [[nodiscard]] std::uint64_t count(verdict end) const {
        return verdict_counts.at(static_cast<std::size_t>(end));
    }

    /// Number of jobs whose verdict is a fault.
    [[nodiscard]] std::uint64_t faults() const;

    /// One progress line with the counts that are not 0 and two latency quantiles.
    [[nodiscard]] std::string summary() const;

    /// Final report with all counts, latency quantiles and the histogram.
    [[nodiscard]] std::string report() const;
};

} // namespace hawthornstall::tools
