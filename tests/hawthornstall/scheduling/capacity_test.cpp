#include "hawthornstall/scheduling/run_time_model.hpp"
#include "hawthornstall/scheduling/slot_capacity.hpp"
#include "hawthornstall/scheduling/worker_capacity.hpp"

#include <doctest/doctest.h>

#include <array>

namespace hawthornstall::scheduling {
namespace {

using core::duration_ms;

// Guards against a worker that runs out of memory because a report lags or a size is exceeded.
TEST_CASE("a worker holds what fits beside its headroom and the use by others") {
    struct scenario {
        const char* name = "";
        core::task_shape shape;
        usage_report report;
        std::uint32_t in_flight = 0;
        std::uint32_t total = 0;
        std::uint32_t free = 0;
    };
    const core::target_capacity worker{
        .cores = 61, .memory_mb = 100'000, .accelerators = 2}; // 60 and 90,000 usable
    const std::array scenarios{
        scenario{"cores bound", {.cores = 2, .memory_mb = 100}, {}, 0, 30, 30},
        scenario{"memory bound", {.cores = 1, .memory_mb = 9'000}, {}, 4, 10, 6},
        scenario{"accelerators bound", {.cores = 1, .accelerators = 1}, {}, 1, 2, 1},
        scenario{"own work not yet reported", {.cores = 2}, {}, 30, 30, 0},
        scenario{"use by others", {.cores = 2}, {20, 0, 0, 5}, 5, 30, 20},
        scenario{"tasks larger than declared",
                 {.cores = 1, .memory_mb = 1'000},
                 {10, 40'000, 0, 10},
                 10,
                 60,
                 50},
        scenario{"too large for any", {.cores = 100}, {}, 0, 0, 0},
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

// Guards against more tasks than connections.
TEST_CASE("a minion holds as many tasks as it has slots and connections") {
    const slot_capacity model{core::task_shape{}};
    slot_capacity::state state;
    model.resize(state, {.slots = 8, .connections = 60});
    CHECK(model.free(state, 3) == 5);
    CHECK(model.free(state, 9) == 0);
    model.resize(state, {.slots = 8, .connections = 4});
    CHECK(model.total(state) == 4);
}

// Guards against trusting a declared run time that is far off, and against taking the error of a
// declaration for the speed of a target.
TEST_CASE("run times and speeds are learned whatever the declaration says") {
    for (const double error : {0.1, 1.0, 10.0}) {
        CAPTURE(error);
        run_time_model model{duration_ms{300}};
        const team_id team{0};
        const std::array<double, 3> true_speeds{1.0, 2.0, 0.5};
        std::array<learned_speed, 3> speeds;
        const duration_ms declared{static_cast<std::int64_t>(200 * error)};
        for (int round = 0; round < 200; ++round) {
            for (std::size_t target = 0; target < speeds.size(); ++target) {
                const double seen = 200.0 / true_speeds.at(target);
                model.observe(team, declared, duration_ms{static_cast<std::int64_t>(seen)},
                              speeds.at(target));
            }
        }
        CHECK(model.is_learned(team, declared));
        // Only the products of work and speed can be observed.
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
