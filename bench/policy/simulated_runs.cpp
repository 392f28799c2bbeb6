#include "policy/simulated_runs.hpp"

#include <algorithm>

namespace hawthornstall::policy_bench {

std::string placement_host_name(std::size_t host) {
    return "host-" + std::to_string(host);
}

std::string placement_target_name(std::size_t target) {
    return "target-" + std::to_string(target);
}

simulated_runs::simulated_runs(const placement_workload& plan, placement_record& record)
    : plan_(plan), record_(record), targets_(plan.targets.size()) {}

std::optional<core::duration_ms> simulated_runs::start(const simulated_start& run,
                                                       core::duration_ms now) {
    runs_[run.key] = {run, now};
    auto& target = targets_.at(run.target);
    if (target.is_silent) {
        return std::nullopt;
    }
    const auto& plan = plan_.targets.at(run.target);
    target.used_cpu_millis += run.cpu_millis;
    if (target.used_cpu_millis > plan.cpu_millis) {
        record_.overfilled();
    }
    constexpr std::int64_t percent = 100;
    return now + std::max(run.work * percent / plan.speed_percent, core::duration_ms{1});
}

std::optional<runs::run_ended> simulated_runs::end(std::uint64_t key, runs::run_end how,
                                                   core::duration_ms now) {
    const auto found = runs_.find(key);
    if (found == runs_.end() || targets_.at(found->second.start.target).is_silent) {
        return std::nullopt;
    }
    const auto run = found->second;
    runs_.erase(found);
    targets_.at(run.start.target).used_cpu_millis -= run.start.cpu_millis;
    record_.used(run.start.cpu_millis, run.started, now);
    return runs::run_ended{.key = key, .end = how, .ran_for = now - run.started};
}

void simulated_runs::lose_targets(core::duration_ms now) {
    for (const auto& [key, run] : runs_) {
        if (plan_.targets.at(run.start.target).is_lost) {
            record_.used(run.start.cpu_millis, run.started, now);
        }
    }
    for (std::size_t index = 0; index < targets_.size(); ++index) {
        if (plan_.targets.at(index).is_lost) {
            targets_.at(index).is_silent = true;
            targets_.at(index).used_cpu_millis = 0;
        }
    }
}

std::vector<runs::run_ended> simulated_runs::detect_loss(core::duration_ms now) {
    for (auto& target : targets_) {
        target.is_usable = !target.is_silent;
    }
    std::vector<runs::run_ended> ends;
    std::erase_if(runs_, [&](const auto& entry) {
        const auto& [key, run] = entry;
        const bool is_lost = targets_.at(run.start.target).is_silent;
        if (is_lost) {
            ends.push_back({.key = key,
                            .end = runs::run_end::lost,
                            .ran_for = now - run.started,
                            .reason = "the target is lost"});
        }
        return is_lost;
    });
    return ends;
}

void simulated_runs::return_targets() {
    for (auto& target : targets_) {
        target.incarnation += target.is_silent ? 1 : 0;
        target.is_silent = false;
        target.is_usable = true;
    }
}

runs::target_report simulated_runs::report(std::size_t host) const {
    runs::target_report report;
    for (auto index = host; index < targets_.size(); index += placement_host_count) {
        const auto& target = targets_.at(index);
        report.targets.push_back({.id = placement_target_name(index),
                                  .incarnation = target.incarnation,
                                  .service = "placement",
                                  .zone = "zone",
                                  .capacity = {.cpu_millis = plan_.targets.at(index).cpu_millis},
                                  .usable = target.is_usable});
    }
    return report;
}

} // namespace hawthornstall::policy_bench
