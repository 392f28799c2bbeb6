#include "policy/workload.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <random>

namespace hawthornstall::policy_bench {
namespace detail {

constexpr std::uint32_t target_count = 50;
constexpr std::uint32_t team_count = 9;
constexpr double min_speed = 0.5;
constexpr double max_speed = 2.0;

/// Random numbers that are the same with every standard library. The distributions of the standard
/// library are not.
class random_source {
public:
    explicit random_source(std::uint64_t seed) : engine_(seed) {}

    /// In [0, 1).
    double uniform() { return static_cast<double>(engine_() >> 11U) * 0x1.0p-53; }
    double uniform(double low, double high) { return low + (high - low) * uniform(); }
    double exponential() { return -std::log1p(-uniform()); }
    bool chance(double probability) { return uniform() < probability; }
    std::size_t below(std::size_t bound) {
        return static_cast<std::size_t>(uniform() * static_cast<double>(bound));
    }

private:
    std::mt19937_64 engine_;
};

/// Number of tasks of a job: a bounded Pareto distribution from 1 to 690 with index 0.8. Half of
/// the jobs have at most two tasks and the mean is about ten; the design scale allows for a mean of
/// at most 20,600 / 540 = 38.
std::uint32_t draw_job_size(random_source& random) {
    constexpr double index = 0.8;
    constexpr double largest = 690.0;
    const double tail = 1.0 - std::pow(largest, -index);
    const double size = std::pow(1.0 - random.uniform() * tail, -1.0 / index);
    return static_cast<std::uint32_t>(std::clamp(size, 1.0, largest));
}

/// Run times of the tasks of a job in ms at speed 1. They lie within 50 % of a typical value of the
/// job, but 1 % of the tasks take several seconds.
std::vector<double> draw_work(random_source& random, std::uint32_t tasks) {
    constexpr double shortest_ms = 50.0;
    constexpr double longest_ms = 1'000.0;
    const double typical_ms = shortest_ms * std::pow(longest_ms / shortest_ms, random.uniform());
    std::vector<double> work(tasks);
    for (auto& item : work) {
        item = random.chance(0.01)
                   ? random.uniform(2'000.0, 5'000.0)
                   : std::clamp(typical_ms * random.uniform(0.5, 1.5), shortest_ms, longest_ms);
    }
    return work;
}

job_plan draw_job(random_source& random, const workload& plan) {
    job_plan job;
    job.team = static_cast<std::uint32_t>(random.below(team_count));
    job.work_ms = draw_work(random, draw_job_size(random));
    job.idempotent = random.chance(0.7);
    job.single = job.work_ms.size() == 1 && job.idempotent && random.chance(0.5);
    job.in_cancellation_wave = plan.has(fault::cancellation_wave) && random.chance(0.3);
    double factor = 1.0;
    factor *= plan.has(fault::declared_too_long) ? 10.0 : 1.0;
    factor *= plan.has(fault::declared_too_short) ? 0.1 : 1.0;
    if (plan.has(fault::declared_too_long) && plan.has(fault::declared_too_short)) {
        factor = random.chance(0.5) ? 10.0 : 0.1;
    }
    for (const double work : job.work_ms) {
        const double declared = work * factor * random.uniform(0.8, 1.25);
        job.declared.emplace_back(std::max<std::int64_t>(1, std::llround(declared)));
    }
    return job;
}

/// Draws jobs until they hold `total_ms` of work, then spreads their arrivals over [begin, end)
/// with gaps drawn from an exponential distribution.
void add_jobs(workload& plan, random_source& random, double total_ms, virtual_us begin,
              virtual_us end) {
    const auto first = plan.jobs.size();
    double sum_ms = 0.0;
    double gap_sum = 0.0;
    std::vector<double> gaps;
    while (sum_ms < total_ms) {
        plan.jobs.push_back(draw_job(random, plan));
        for (const double work : plan.jobs.back().work_ms) {
            sum_ms += work;
        }
        gaps.push_back(random.exponential());
        gap_sum += gaps.back();
    }
    // A gap after the last arrival keeps it before the end of the interval.
    gap_sum += random.exponential();
    double position = 0.0;
    for (std::size_t index = 0; index < gaps.size(); ++index) {
        position += gaps[index] / gap_sum;
        plan.jobs[first + index].arrival =
            begin + static_cast<virtual_us>(position * static_cast<double>(end - begin));
    }
}

/// Sets `flag` on a random `share` of the targets.
void mark_targets(workload& plan, random_source& random, double share, bool target_plan::*flag) {
    auto left = static_cast<std::size_t>(std::ceil(share * target_count));
    while (left > 0) {
        auto& target = plan.targets[random.below(plan.targets.size())];
        if (!(target.*flag)) {
            target.*flag = true;
            --left;
        }
    }
}

void add_targets(workload& plan, random_source& random) {
    const std::uint32_t slots = plan.parameters.size == deployment::minions ? 8 : 60;
    for (std::uint32_t index = 0; index < target_count; ++index) {
        const double speed = min_speed + (max_speed - min_speed) * index / (target_count - 1);
        plan.targets.push_back({.speed = speed, .slots = slots});
    }
    for (std::size_t index = plan.targets.size() - 1; index > 0; --index) {
        std::swap(plan.targets[index], plan.targets[random.below(index + 1)]);
    }
    if (plan.has(fault::failing_targets)) {
        mark_targets(plan, random, 0.1, &target_plan::fails);
    }
    if (plan.has(fault::stragglers)) {
        mark_targets(plan, random, 0.05, &target_plan::straggles);
    }
    if (plan.has(fault::target_loss)) {
        mark_targets(plan, random, 0.2, &target_plan::lost);
    }
}

} // namespace detail

std::string_view to_string(deployment size) noexcept {
    return size == deployment::minions ? "minions" : "workers";
}

std::string_view to_string(fault kind) noexcept {
    constexpr std::array<std::string_view, fault_count> names{
        "burst",       "cancellation_wave", "failing_targets",
        "stragglers",  "declared_too_long", "declared_too_short",
        "target_loss", "zone_loss"};
    return names.at(static_cast<std::size_t>(kind));
}

double workload::total_speed() const {
    double sum = 0.0;
    for (const auto& target : targets) {
        sum += target.speed * target.slots;
    }
    return sum;
}

std::uint64_t workload::task_count() const {
    std::uint64_t sum = 0;
    for (const auto& job : jobs) {
        sum += job.work_ms.size();
    }
    return sum;
}

bool workload::has(fault kind) const {
    return std::find(parameters.faults.begin(), parameters.faults.end(), kind) !=
           parameters.faults.end();
}

workload make_workload(const workload_parameters& parameters) {
    workload plan;
    plan.parameters = parameters;
    detail::random_source random{parameters.seed};
    detail::add_targets(plan, random);
    const virtual_us length = parameters.length.count() * us_per_ms;
    plan.fault_time = length / 3;
    const double work_per_ms = parameters.load * plan.total_speed();
    const auto length_ms = static_cast<double>(parameters.length.count());
    detail::add_jobs(plan, random, work_per_ms * length_ms, 0, length);
    if (plan.has(fault::burst)) {
        constexpr virtual_us burst_ms = 1'000;
        detail::add_jobs(plan, random, 4.0 * work_per_ms * burst_ms, plan.fault_time,
                         plan.fault_time + burst_ms * us_per_ms);
    }
    if (plan.has(fault::zone_loss)) {
        const auto rest_ms = static_cast<double>(length - plan.fault_time) / us_per_ms;
        detail::add_jobs(plan, random, 0.5 * work_per_ms * rest_ms, plan.fault_time, length);
    }
    std::stable_sort(plan.jobs.begin(), plan.jobs.end(), [](const auto& left, const auto& right) {
        return left.arrival < right.arrival;
    });
    return plan;
}

std::string name_of(const workload_parameters& parameters) {
    std::string name{to_string(parameters.size)};
    name += ' ' + std::to_string(std::llround(parameters.load * 100.0)) + " %";
    char separator = ' ';
    for (const auto kind : parameters.faults) {
        name += separator;
        name += to_string(kind);
        separator = '+';
    }
    return name;
}

} // namespace hawthornstall::policy_bench
