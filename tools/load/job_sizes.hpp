#pragma once

/// Distributions of the number of tasks per job.

#include <algorithm>
#include <concepts>
#include <cstdint>
#include <random>

namespace hawthornstall::tools {

/// Source of random numbers of the load tool; seeded, so that a run can be repeated.
using load_random = std::mt19937_64;

/// Most tasks in one job, from the design scale.
constexpr std::uint32_t most_tasks = 690;

/// Draws the number of tasks of the next job, 1 to most_tasks.
template <class Sizes>
concept job_size_source = requires(Sizes sizes, load_random& random) {
    { sizes.next(random) } -> std::convertible_to<std::uint32_t>;
};

/// Every job has the mean number of tasks.
struct fixed_sizes {
    std::uint32_t mean = 1;

    std::uint32_t next(load_random&) const { return std::clamp(mean, 1U, most_tasks); }
};

/// Equally likely sizes from 1 to twice the mean.
struct uniform_sizes {
    std::uint32_t mean = 1;

    std::uint32_t next(load_random& random) const {
        const auto largest = std::clamp(2 * mean - 1, 1U, most_tasks);
        return std::uniform_int_distribution<std::uint32_t>{1, largest}(random);
    }
};

/// Many small jobs and a few large ones.
struct geometric_sizes {
    std::uint32_t mean = 1;

    std::uint32_t next(load_random& random) const {
        std::geometric_distribution<std::uint32_t> extra{1.0 / mean};
        return std::min(extra(random), most_tasks - 1) + 1;
    }
};

} // namespace hawthornstall::tools
