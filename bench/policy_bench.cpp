/// Runs every policy on the workloads of section 1.5 of the design page, and prints response times,
/// messages and goodput of each. The placement suite runs the placement policies on the workload of
/// docs/design/load-and-limits.md.

#include "policy/placement_report.hpp"
#include "policy/placement_simulation.hpp"
#include "policy/policies.hpp"
#include "policy/report.hpp"

#include <gflags/gflags.h>

#include <array>
#include <cstdint>
#include <fstream>
#include <iostream>
#include <vector>

DEFINE_string(suite, "single",
              "loads: four loads without faults; single: also one fault at a time "
              "at 70 percent load; pairs: two faults at a time; placement: the placement policies "
              "at four loads and with the loss of a third of the targets");
DEFINE_string(deployment, "both", "minions, workers or both; not for the placement suite");
DEFINE_string(policy, "", "only the policy of this name; empty for all");
DEFINE_uint64(seed, 1, "seed of the arrivals");
DEFINE_int64(length_ms, 60'000, "virtual time over which jobs arrive");
DEFINE_string(json, "",
              "file for the results as JSON; empty for none; not for the placement suite");

namespace hawthornstall::policy_bench {
namespace {

constexpr std::array loads{0.5, 0.7, 0.85, 1.2};
constexpr double fault_load = 0.7;

std::vector<workload_parameters> make_suite(deployment size) {
    std::vector<workload_parameters> suite;
    const auto add = [&](double load, std::vector<fault> faults) {
        suite.push_back(
            {size, load, std::move(faults), FLAGS_seed, core::duration_ms{FLAGS_length_ms}});
    };
    if (FLAGS_suite != "pairs") {
        for (const double load : loads) {
            add(load, {});
        }
    }
    for (std::size_t first = 0; FLAGS_suite != "loads" && first < fault_count; ++first) {
        if (FLAGS_suite == "single") {
            add(fault_load, {static_cast<fault>(first)});
        }
        for (auto second = first + 1; FLAGS_suite == "pairs" && second < fault_count; ++second) {
            add(fault_load, {static_cast<fault>(first), static_cast<fault>(second)});
        }
    }
    return suite;
}

int run_placement() {
    constexpr std::array<std::int64_t, 4> load_percents{70, 90, 100, 120};
    constexpr std::int64_t loss_load_percent = 90;
    std::vector<placement_parameters> suite;
    suite.reserve(load_percents.size() + 1);
    for (const auto load : load_percents) {
        suite.push_back({load, false, FLAGS_seed, core::duration_ms{FLAGS_length_ms}});
    }
    suite.push_back({loss_load_percent, true, FLAGS_seed, core::duration_ms{FLAGS_length_ms}});
    write_placement_header(std::cout);
    for (const auto& parameters : suite) {
        const auto plan = make_placement_workload(parameters);
        for (const auto policy : {runs::placement_policy::fit, runs::placement_policy::reserve,
                                  runs::placement_policy::backfill}) {
            const auto name = runs::to_string(policy);
            if (FLAGS_policy.empty() || FLAGS_policy == name) {
                write_placement_row(std::cout, name_of(parameters), name,
                                    simulate_placement(plan, policy));
                std::cout.flush();
            }
        }
    }
    return 0;
}

int run() {
    if (FLAGS_suite == "placement") {
        return run_placement();
    }
    std::vector<run_result> results;
    write_table_header(std::cout);
    for (const auto size : {deployment::minions, deployment::workers}) {
        if (FLAGS_deployment != "both" && FLAGS_deployment != to_string(size)) {
            continue;
        }
        for (const auto& parameters : make_suite(size)) {
            const auto plan = make_workload(parameters);
            for (const auto policy : policy_names()) {
                if (FLAGS_policy.empty() || FLAGS_policy == policy) {
                    results.push_back(run_policy(policy, plan));
                    write_table_row(std::cout, results.back());
                    std::cout.flush();
                }
            }
        }
    }
    if (!FLAGS_json.empty()) {
        std::ofstream{FLAGS_json} << to_json(results) << '\n';
    }
    return 0;
}

} // namespace
} // namespace hawthornstall::policy_bench

int main(int argc, char** argv) {
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    return hawthornstall::policy_bench::run();
}
