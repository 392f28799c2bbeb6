#include "hawthornstall/scheduling/run_time_model.hpp"
#include "hawthornstall/scheduling/slot_capacity.hpp"
#include "hawthornstall/scheduling/worker_capacity.hpp"

#include <doctest/doctest.h>

#include <array>

namespace hawthornstall::scheduling {
namespace {

using core::duration_ms;

// Guards against overcommitting a worker because its usage report lags or because tasks use more
// than their declared size.
TEST_CASE("a worker holds the tasks that fit besides its headroom and the usage of others") {
    struct scenario {
        const char* name = "";
        core::task_shape shape;
        usage_report report;
        std::uint32_t in_flight = 0;
        std::uint32_t total = 0;
        std::uint32_t free = 0;
    };
    // 60 cores and 90,000 MB without the headroom.
    const core::target_capacity worker{.cores = 61, .memory_mb = 100'000, .accelerators = 2};
    const std::array scenarios{
        scenario{"limited by cores", {.cores = 2, .memory_mb = 100}, {}, 0, 30, 30},
        scenario{"limited by memory", {.cores = 1, .memory_mb = 9'000}, {}, 4, 10, 6},
        scenario{"limited by accelerators", {.cores = 1, .accelerators = 1}, {}, 1, 2, 1},
        scenario{"tasks of this service not yet reported", {.cores = 2}, {}, 30, 30, 0},
        scenario{"usage by other services", {.cores = 2}, {20, 0, 0, 5}, 5, 30, 20},
        scenario{"tasks larger than declared",
                 {.cores = 1, .memory_mb = 1'000},
                 {10, 40'000, 0, 10},
                 10,
                 60,
                 50},
        scenario{"task larger than the worker", {.cores = 100}, {}, 0, 0, 0},
    };
    for (const auto& item : scenarios) {
        CAPTURE(item.name);
        const worker_capacity model{item.shape};
        worker_capacity::state state;
        model.resize(state, worker);
        model.report(state, item.report);
        CHECK(model.total(state) == item.total);
        CHECK(model.free(state, item.in_flight) == item.free);
    }
}

// Guards against starting more tasks on a minion than it has connections.
TEST_CASE("a minion holds as many tasks as it has slots and connections") {
    const slot_capacity model{core::task_shape{}};
    slot_capacity::state state;
    model.resize(state, {.slots = 8, .connections = 60});
    CHECK(model.free(state, 3) == 5);
    CHECK(model.free(state, 9) == 0);
    model.resize(state, {.slots = 8, .connections = 4});
    CHECK(model.total(state) == 4);
}

// Guards against estimates that stay wrong when declared run times are wrong by a factor of 10, and
// against attributing that error to the speed of the targets.
TEST_CASE("run times and speeds are learned whatever run times are declared") {
    for (const double error : {0.1, 1.0, 10.0}) {
        CAPTURE(error);
        run_time_model model{duration_ms{300}};
        const team_id team{0};
        const std::array<double, 3> true_speeds{1.0, 2.0, 0.5};
        std::array<learned_speed, 3> speeds;
        const duration_ms declared{static_cast<std::int64_t>(200 * error)};
        for (int round = 0; round < 200; ++round) {
            for (std::size_t target = 0; target < speeds.size(); ++target) {
                const double observed = 200.0 / true_speeds.at(target);
                model.observe(team, declared, duration_ms{static_cast<std::int64_t>(observed)},
                              speeds.at(target));
            }
        }
        CHECK(model.is_learned(team, declared));
        // Only run times can be observed: the quotient of work and speed, not either alone.
        for (std::size_t target = 0; target < speeds.size(); ++target) {
            const double predicted = model.expected_ms(team, declared) / speeds.at(target).value();
            CHECK(predicted == doctest::Approx(200.0 / true_speeds.at(target)).epsilon(0.05));
        }
        CHECK(speeds[1].value() / speeds[2].value() == doctest::Approx(4.0).epsilon(0.05));
        CHECK_FALSE(model.is_learned(team, duration_ms{100'000}));
    }
}

} // namespace
} // namespace hawthornstall::scheduling
