/// Minions start again as minions of another kind while jobs that require a kind arrive.

#include "../deployment.hpp"

#include <algorithm>
#include <atomic>
#include <thread>

namespace {

using namespace review;

constexpr int front_ends = 4;
constexpr int minion_count = 8;
constexpr int restarted_count = 4; ///< Minions that restart, one at a time.
constexpr int callers = 6;
constexpr int run_ms = 20;
constexpr int deadline_ms = 1'500;
constexpr int rounds = 120;

/// A start that arrives sooner after a restart may have been sent before it. It is not counted.
constexpr int in_flight_ms = 20;

constexpr int between_restarts_ms = 700;

verdict script(const arguments& given, record& log) {
    deployment system{given.programs, front_ends, log};
    system.put_configuration(make_configuration(1, {{.path_prefix = "/jobs/"}}));
    system.add_minions(minion_count, {"a", "r1"});
    system.wait_until_served("/jobs/");
    constexpr int calm_ms = 4'000;
    sleep_ms(calm_ms);

    std::atomic<bool> stopping{false};
    std::vector<std::thread> threads;
    threads.reserve(callers);
    for (int caller = 0; caller < callers; ++caller) {
        threads.emplace_back([&, caller] {
            const auto address = system.front_end_address(caller % front_ends + 1);
            while (!stopping) {
                (void)exchange_once(address, "POST", "/jobs/" + make_job_id(),
                                    make_job(1, run_ms, "a"), caller_headers(deadline_ms),
                                    2 * deadline_ms);
            }
        });
    }
    for (int round = 0; round < rounds; ++round) {
        sleep_ms(between_restarts_ms);
        if (given.trouble) {
            const auto index = static_cast<std::size_t>(round / 2 % restarted_count);
            system.minions()[index]->restart({round % 2 == 0 ? "b" : "a", "r1"});
        }
    }
    stopping = true;
    for (auto& thread : threads) {
        thread.join();
    }
    verdict violation;
    for (const auto& start : log.starts()) {
        const bool has_label = std::ranges::find(start.labels, "a") != start.labels.end();
        if (!has_label && start.after > in_flight_ms) {
            violation = "ROUTE: task " + start.task + " requires label a and was started on " +
                        start.minion + " without it, " + std::to_string(start.after) +
                        " ms after the restart of that minion";
        }
    }
    return violation;
}

} // namespace

int main(int argc, char** argv) {
    return run_script(argc, argv, script);
}
