#pragma once

/// Counts and latencies of a load run.

#include "load/answer_check.hpp"
#include "load/latency_histogram.hpp"

#include <array>
#include <cstdint>
#include <string>

namespace hawthornstall::tools {

/// Latencies are measured from the time at which a job was due, so that a slow system cannot hide
/// its delay by slowing the tool down.
struct load_results {
    std::uint64_t submitted = 0;
    std::uint64_t resubmitted = 0;
    std::uint64_t tasks = 0;
    std::array<std::uint64_t, verdict_names.size()> ends{};
    latency_histogram answered; ///< Latencies of answered jobs.

    [[nodiscard]] std::uint64_t count(verdict end) const {
        return ends.at(static_cast<std::size_t>(end));
    }

    /// Jobs whose end breaks a promise of the system.
    [[nodiscard]] std::uint64_t faults() const;

    /// One line for progress.
    [[nodiscard]] std::string summary() const;

    /// Table of all counts and the histogram.
    [[nodiscard]] std::string report() const;
};

} // namespace hawthornstall::tools
