#pragma once

/// Random distributions of the number of tasks per job.

#include <algorithm>
#include <concepts>
#include <cstdint>
#include <random>

namespace hawthornstall::tools {

/// Random number generator of the load tool. It is seeded, so that a run can be reproduced.
using load_random = std::mt19937_64;

/// Upper limit of tasks per job in the design scale of the system.
constexpr std::uint32_t max_tasks_per_job = 690;

/// A distribution whose `next` draws the number of tasks of a job, from 1 to max_tasks_per_job.
template <class Sizes>
concept job_size_distribution = requires(Sizes sizes, load_random& random) {
    { sizes.next(random) } -> std::convertible_to<std::uint32_t>;
};

/// Constant distribution: every job has the mean number of tasks.
struct fixed_sizes {
    std::uint32_t mean = 1;

    std::uint32_t next(load_random&) const { return std::clamp(mean, 1U, max_tasks_per_job); }
};

/// Uniform distribution from 1 to 2 * mean - 1.
struct uniform_sizes {
    std::uint32_t mean = 1;

    std::uint32_t next(load_random& random) const {
        const auto largest = std::clamp(2 * mean - 1, 1U, max_tasks_per_job);
        return std::uniform_int_distribution<std::uint32_t>{1, largest}(random);
    }
};

/// Geometric distribution: many small jobs and a few large ones.
struct geometric_sizes {
    std::uint32_t mean = 1;

    std::uint32_t next(load_random& random) const {
        std::geometric_distribution<std::uint32_t> extra{1.0 / mean};
        return std::min(extra(random), max_tasks_per_job - 1) + 1;
    }
};

} // namespace hawthornstall::tools
