#pragma once

/// Latencies in buckets that grow by a constant factor.

#include "hawthornstall/core/ms_clock.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>

namespace hawthornstall::tools {

/// Each power of two is divided into eight buckets, so that a quantile is off by at most 12.5 %.
class latency_histogram {
public:
    void add(core::duration_ms latency);

    /// Upper bound of the bucket that holds the given share (0 to 1) of all latencies.
    [[nodiscard]] core::duration_ms quantile(double share) const;

    [[nodiscard]] std::uint64_t count() const noexcept { return count_; }
    [[nodiscard]] core::duration_ms longest() const noexcept { return longest_; }

    /// One line per power of two that holds latencies, with a bar.
    [[nodiscard]] std::string draw() const;

private:
    static constexpr std::size_t buckets_per_power = 8;
    static constexpr std::size_t powers = 32;

    [[nodiscard]] static std::size_t bucket_of(std::uint64_t ms);
    [[nodiscard]] static std::uint64_t upper_bound(std::size_t bucket);

    std::array<std::uint64_t, powers * buckets_per_power> buckets_{};
    std::uint64_t count_ = 0;
    core::duration_ms longest_{};
};

} // namespace hawthornstall::tools
