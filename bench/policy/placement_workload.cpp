#include "policy/placement_workload.hpp"

#include <algorithm>
#include <array>
#include <functional>
#include <random>

namespace hawthornstall::policy_bench {
namespace detail {

using core::duration_ms;

constexpr std::int64_t percent = 100;

/// Jobs of one queue: section 2 of the design page, with the shares of a recorded arrival mix.
struct queue_kind {
    std::string_view name;
    std::int64_t tasks = 0; ///< Mean number of tasks.
    duration_ms run_time{};
    std::uint64_t share = 0; ///< Of the arriving jobs, relative to the other queues.
};

constexpr std::array<queue_kind, placement_queue_count> queue_kinds{{
    {"8 x 60 ms", 8, duration_ms{60}, 412},
    {"4 x 900 ms", 4, duration_ms{900}, 75},
    {"2 x 200 ms", 2, duration_ms{200}, 1'200},
}};

constexpr std::size_t target_count = 60;
constexpr std::int64_t mean_cpu_millis = 32'000;
constexpr std::int64_t min_cpu_millis = 1'000;
constexpr std::int64_t max_cpu_millis = 48'000;
constexpr std::int64_t cpu_spread_percent = 20;
constexpr std::int64_t task_spread_percent = 40;
constexpr std::int64_t declared_error_percent = 40;
constexpr std::int64_t long_tasks_percent = 3;
constexpr std::int64_t long_task_factor = 7;
constexpr duration_ms loss_length{5'000};

/// The scheduler learns the speeds of the targets in this time, which is not measured.
constexpr duration_ms learning_time{5'000};

/// After the targets have returned, the queues that have grown meanwhile are measured for as long
/// as the loss itself.
constexpr duration_ms measured_after_return = loss_length;

/// Random integers. They are the same on every machine, which the distributions of the standard
/// library and floating-point functions are not.
class integer_source {
public:
    explicit integer_source(std::uint64_t seed) : engine_(seed) {}

    /// In [0, bound), for a bound below 2^32.
    std::uint64_t below(std::uint64_t bound) {
        constexpr unsigned half_bits = 32;
        return ((engine_() >> half_bits) * bound) >> half_bits;
    }

    std::int64_t between(std::int64_t low, std::int64_t high) {
        return low + static_cast<std::int64_t>(below(static_cast<std::uint64_t>(high - low) + 1));
    }

    bool chance_percent(std::int64_t share) { return between(0, percent - 1) < share; }

    /// About normally distributed with this mean and standard deviation: the sum of twelve uniform
    /// numbers has the variance of one of them times twelve, which is the square of their range.
    std::int64_t normal(std::int64_t mean, std::int64_t deviation) {
        constexpr std::int64_t range = 1 << 16;
        constexpr int summands = 12;
        std::int64_t sum = 0;
        for (int index = 0; index < summands; ++index) {
            sum += between(0, range);
        }
        return mean + (sum - summands / 2 * range) * deviation / range;
    }

private:
    std::mt19937_64 engine_;
};

std::size_t draw_queue(integer_source& random) {
    std::uint64_t shares = 0;
    for (const auto& kind : queue_kinds) {
        shares += kind.share;
    }
    auto position = random.below(shares);
    std::size_t queue = 0;
    while (position >= queue_kinds.at(queue).share) {
        position -= queue_kinds.at(queue).share;
        ++queue;
    }
    return queue;
}

/// Number of tasks with a standard deviation of 40 % of the mean, rounded to the nearest integer.
std::int64_t draw_task_count(integer_source& random, std::int64_t mean) {
    const auto hundredths = random.normal(mean * percent, mean * task_spread_percent);
    return std::max<std::int64_t>((hundredths + percent / 2) / percent, 1);
}

placement_job draw_job(integer_source& random, duration_ms length) {
    placement_job job;
    job.arrival = duration_ms{random.between(0, std::max<std::int64_t>(length.count(), 1) - 1)};
    job.queue = draw_queue(random);
    job.front_end = random.below(placement_host_count);
    const auto& kind = queue_kinds.at(job.queue);
    job.cpu_millis =
        std::clamp(random.normal(mean_cpu_millis, mean_cpu_millis * cpu_spread_percent / percent),
                   min_cpu_millis, max_cpu_millis);
    const auto declared_percent =
        random.between(percent - declared_error_percent, percent + declared_error_percent);
    job.declared = kind.run_time * declared_percent / percent;
    const auto tasks = draw_task_count(random, kind.tasks);
    for (std::int64_t index = 0; index < tasks; ++index) {
        const bool is_long = random.chance_percent(long_tasks_percent);
        job.work.push_back(kind.run_time * (is_long ? long_task_factor : 1));
    }
    return job;
}

/// Two thirds of the targets are small and slow, the others large and fast. The lost third (21 of
/// 60) has both kinds in the same proportion.
std::vector<placement_target> make_targets() {
    constexpr std::size_t period = 3;
    constexpr std::int64_t small_cpu_millis = 64'000;
    constexpr std::int64_t large_cpu_millis = 96'000;
    constexpr std::int64_t small_speed_percent = 70;
    constexpr std::int64_t large_speed_percent = 170;
    std::vector<placement_target> targets;
    for (std::size_t index = 0; index < target_count; ++index) {
        const bool is_large = index % period == 0;
        targets.push_back({.cpu_millis = is_large ? large_cpu_millis : small_cpu_millis,
                           .speed_percent = is_large ? large_speed_percent : small_speed_percent,
                           .is_lost = index / period % period == 0});
    }
    return targets;
}

} // namespace detail

std::int64_t placement_workload::large_cpu_millis() const {
    constexpr std::size_t large_share = 10;
    std::vector<std::int64_t> requests;
    for (const auto& job : jobs) {
        if (is_measured(job)) {
            requests.insert(requests.end(), job.work.size(), job.cpu_millis);
        }
    }
    if (requests.empty()) {
        return 0;
    }
    std::ranges::sort(requests, std::greater{});
    return requests.at(requests.size() / large_share);
}

placement_workload make_placement_workload(const placement_parameters& parameters) {
    placement_workload plan;
    plan.parameters = parameters;
    plan.targets = detail::make_targets();
    plan.measured_from = std::min(detail::learning_time, parameters.length / 2);
    plan.measured_until = parameters.length;
    if (parameters.loses_targets) {
        plan.lost_at = parameters.length / 2;
        plan.returned_at = plan.lost_at + detail::loss_length;
        plan.measured_from = plan.lost_at;
        plan.measured_until =
            std::min(plan.returned_at + detail::measured_after_return, parameters.length);
    }
    std::int64_t work_per_ms = 0; // In thousandths of a core of speed 1.
    for (const auto& target : plan.targets) {
        work_per_ms += target.cpu_millis * target.speed_percent / detail::percent;
    }
    auto work = work_per_ms * parameters.load_percent / detail::percent * parameters.length.count();
    detail::integer_source random{parameters.seed};
    while (work > 0) {
        plan.jobs.push_back(detail::draw_job(random, parameters.length));
        const auto& job = plan.jobs.back();
        for (const auto& task : job.work) {
            work -= job.cpu_millis * task.count();
        }
    }
    // Arrival times that are drawn independently are those of a Poisson process.
    std::ranges::stable_sort(plan.jobs, {}, &placement_job::arrival);
    return plan;
}

std::string_view placement_queue_name(std::size_t queue) {
    return detail::queue_kinds.at(queue).name;
}

std::string name_of(const placement_parameters& parameters) {
    return std::to_string(parameters.load_percent) + " %" +
           (parameters.loses_targets ? " loss" : "");
}

} // namespace hawthornstall::policy_bench
