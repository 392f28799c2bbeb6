#pragma once

/// Latency histogram with logarithmic buckets.

#include "hawthornstall/core/ms_clock.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>

namespace hawthornstall::tools {

/// Divides each power of two into eight linear buckets, which limits the error of a quantile
/// to 12.5 %.
class latency_histogram {
public:
    void add(core::duration_ms latency);

    /// Returns an upper bound for the given share (0 to 1) of all latencies, exact to one bucket.
    [[nodiscard]] core::duration_ms quantile(double share) const;

    [[nodiscard]] std::uint64_t count() const noexcept { return count_; }
    [[nodiscard]] core::duration_ms max_latency() const noexcept { return max_latency_; }

    /// Formats a bar chart with one line for each power of two that has latencies.
    [[nodiscard]] std::string format_bars() const;

private:
    static constexpr std::size_t buckets_per_power = 8;
    static constexpr std::size_t powers = 32;

    [[nodiscard]] static std::size_t bucket_of(std::uint64_t ms);
    [[nodiscard]] static std::uint64_t upper_bound(std::size_t bucket);

    std::array<std::uint64_t, powers * buckets_per_power> buckets_{};
    std::uint64_t count_ = 0;
    core::duration_ms max_latency_{};
};

} // namespace hawthornstall::tools
