#include "hawthornstall/runs/end_forecast.hpp"
#include "hawthornstall/runs/job_scheduler.hpp"
#include "hawthornstall/runs/reservations.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace hawthornstall::runs {
namespace {

using core::duration_ms;

constexpr core::time_ms start_time = core::from_count(1'000'000);

core::resources cores(std::int64_t count) {
    return {.cpu_millis = count * 1'000};
}

struct forecast_case {
    std::string_view name;
    std::int64_t free = 0;
    std::int64_t wanted = 0;
    duration_ms now{};
    std::optional<duration_ms> fits_at;
};

// Guards against a forecast that counts a run as ended because it has outlasted its declared time:
// 3 % of the runs take several times as long.
TEST_CASE("a task fits when enough runs are forecast to have ended") {
    end_forecast ends;
    ends.started("w", 1, cores(24), start_time, duration_ms{100});
    ends.started("w", 2, cores(30), start_time, duration_ms{300});
    const std::array cases{
        forecast_case{"now", 40, 40, duration_ms{0}, duration_ms{0}},
        forecast_case{"after the first end", 10, 34, duration_ms{0}, duration_ms{100}},
        forecast_case{"after both ends", 10, 40, duration_ms{0}, duration_ms{300}},
        forecast_case{"never", 10, 65, duration_ms{0}, std::nullopt},
        forecast_case{"a late run is expected to take twice as long", 10, 34, duration_ms{150},
                      duration_ms{200}},
        forecast_case{"and twice as long again", 10, 34, duration_ms{250}, duration_ms{300}},
    };
    for (const auto& item : cases) {
        CAPTURE(item.name);
        const auto at =
            ends.fits_at("w", cores(item.free), cores(item.wanted), start_time + item.now);
        REQUIRE(at.has_value() == item.fits_at.has_value());
        if (at) {
            CHECK(*at == start_time + *item.fits_at);
        }
    }
    ends.ended("w", 1);
    CHECK(ends.fits_at("w", cores(34), cores(34), start_time) == start_time);
    CHECK(ends.freed_by("w", start_time + duration_ms{300}, start_time) == cores(30));
    CHECK(ends.fits_at("x", cores(1), cores(2), start_time) == std::nullopt);
}

struct allow_case {
    std::string_view name;
    std::string_view target;
    std::int64_t wanted = 0;
    duration_ms ends_after{};
    placement_policy policy = placement_policy::backfill;
    bool allowed = false;
};

// Guards against a task that delays the reserved start of another, and against a reserved target
// that stays idle although a task would not delay it.
TEST_CASE("others use a reserved target only if they do not delay the reserved start") {
    reservations reserved;
    reserved.make({1, 0}, {.job = "large",
                           .target = "w",
                           .starts_at = start_time + duration_ms{100},
                           .beside = cores(20)});
    const std::array cases{
        allow_case{"another target", "x", 60, duration_ms{900}, placement_policy::backfill, true},
        allow_case{"ends before", "w", 60, duration_ms{100}, placement_policy::backfill, true},
        allow_case{"ends later", "w", 30, duration_ms{101}, placement_policy::backfill, false},
        allow_case{"fits beside", "w", 20, duration_ms{900}, placement_policy::backfill, true},
        allow_case{"no use of the time before", "w", 10, duration_ms{10}, placement_policy::reserve,
                   false},
    };
    for (const auto& item : cases) {
        CAPTURE(item.name);
        CHECK(reserved.allows(item.target, cores(item.wanted), start_time + item.ends_after,
                              item.policy) == item.allowed);
    }
    reserved.other_started("w", cores(15), start_time + duration_ms{900});
    CHECK_FALSE(
        reserved.allows("w", cores(20), start_time + duration_ms{900}, placement_policy::backfill));
    CHECK(
        reserved.allows("w", cores(5), start_time + duration_ms{900}, placement_policy::backfill));
}

// Guards against a target that stays reserved for a task that has started or does not wait any
// more, and against a reservation that is lost because a round ended before its task was reached.
TEST_CASE("a reservation ends with its task or with a round in which the task is not seen") {
    const auto nothing = [](const waiting_task& /*task*/, const reservation& /*item*/) {
        return false;
    };
    reservations reserved;
    const reservation item{.job = "a", .target = "w", .starts_at = start_time, .beside = {}};
    reserved.make({1, 0}, item);
    reserved.drop_unused();
    CHECK(reserved.is_reserved("w"));
    reserved.begin_round(nothing);
    CHECK(reserved.is_reserved("w"));
    reserved.begin_round(nothing);
    reserved.keep({1, 0}, item);
    reserved.drop_unused();
    CHECK(reserved.is_reserved("w"));
    reserved.begin_round(nothing);
    reserved.drop_unused();
    CHECK_FALSE(reserved.is_reserved("w"));
    reserved.make({2, 0}, item);
    reserved.make({2, 0}, {.job = "b", .target = "x", .starts_at = start_time, .beside = {}});
    CHECK_FALSE(reserved.is_reserved("w"));
    reserved.task_started({2, 0}, "x");
    CHECK(reserved.size() == 0);
    reserved.make({3, 0}, item);
    reserved.begin_round(
        [](const waiting_task& task, const reservation& /*item*/) { return task.first == 3; });
    CHECK(reserved.size() == 0);
    const auto counts = reserved.take_counts();
    CHECK(counts.made == 3);
    CHECK(counts.moved == 1);
    CHECK(counts.used == 1);
}

// Guards against an urgent task that is kept from a target for a task that comes after it.
TEST_CASE("a reservation restricts only the tasks that come after its own in a round") {
    reservations reserved;
    const reservation item{.job = "a", .target = "w", .starts_at = start_time, .beside = {}};
    reserved.make({1, 0}, item);
    reserved.begin_round(
        [](const waiting_task& /*task*/, const reservation& /*item*/) { return false; });
    const auto later = start_time + duration_ms{900};
    CHECK(reserved.allows("w", cores(30), later, placement_policy::backfill));
    reserved.keep({1, 0}, item);
    CHECK_FALSE(reserved.allows("w", cores(30), later, placement_policy::backfill));
}

/// A scheduler on a virtual clock, whose runs end after the time that the test says.
class placement_fixture {
public:
    placement_fixture(placement_policy policy, int targets) : scheduler(0, policy) {
        scheduler.start_scheduling();
        target_report report;
        for (int index = 0; index < targets; ++index) {
            report.targets.push_back({.id = "w-" + std::to_string(index),
                                      .incarnation = 1,
                                      .service = "restock",
                                      .zone = "bilbao",
                                      .capacity = cores(64),
                                      .usable = true});
        }
        scheduler.report("holder", report, now);
        now += duration_ms{1'500};
    }

    void submit(const std::string& id, std::int64_t task_cores, duration_ms run_time) {
        job_step step;
        step.resources = cores(task_cores);
        step.estimated = run_time;
        scheduler.submit("front-end",
                         {.number = ++last_number,
                          .job = {.id = id,
                                  .specification = "",
                                  .steps = {step},
                                  .terms = {.service = "restock",
                                            .max_attempts = 2,
                                            // No job turns late, which would change the order.
                                            .stretch = 20.0,
                                            .latency_target = duration_ms{60},
                                            .deadline = duration_ms{60'000}}}},
                         now);
        ends_after[id] = run_time;
        place();
    }

    /// Runs until `time` has passed.
    void advance(duration_ms time) {
        for (const auto end = now + time; now < end; now += duration_ms{1}) {
            while (!running.empty() && running.begin()->first <= now) {
                const auto key = running.begin()->second;
                running.erase(running.begin());
                scheduler.on_run_ended({.key = key, .end = run_end::done, .ran_for = {}}, now);
            }
            place();
        }
    }

    void place() {
        scheduler.place(now);
        auto effects = scheduler.take_effects();
        for (const auto& event : effects.events) {
            if (event.what == "job_ended") {
                ended[event.job] = now;
            }
        }
        for (const auto& item : effects.messages) {
            if (const auto* const grant = std::get_if<grant_run>(&item.message)) {
                const auto& id = jobs.emplace(grant->number, "job-" + std::to_string(grant->number))
                                     .first->second;
                started[id] = now;
                running.emplace(now + run_time_of(grant->number), grant->key);
            }
        }
    }

    [[nodiscard]] duration_ms run_time_of(std::uint64_t number) const {
        return ends_after.at("job-" + std::to_string(number));
    }

    core::time_ms now = start_time;
    job_scheduler scheduler;
    std::uint64_t last_number = 0;
    std::map<std::string, duration_ms> ends_after;
    std::map<std::uint64_t, std::string> jobs; ///< By number of the submission.
    std::multimap<core::time_ms, std::uint64_t> running;
    std::map<std::string, core::time_ms> started;
    std::map<std::string, core::time_ms> ended;
};

struct starvation_case {
    placement_policy policy = placement_policy::fit;
    duration_ms longest_wait{};
    bool starved = false;
};

// Load: targets are filled with small tasks, and small tasks arrive faster than they end, while one
// task waits that needs most of a target. Guards against a large task that waits for as long as
// small ones arrive.
TEST_CASE("a large task starts although small ones keep arriving") {
    constexpr std::array cases{
        starvation_case{placement_policy::fit, duration_ms{0}, true},
        starvation_case{placement_policy::reserve, duration_ms{250}, false},
        starvation_case{placement_policy::backfill, duration_ms{250}, false},
    };
    for (const auto& item : cases) {
        CAPTURE(to_string(item.policy));
        placement_fixture fixture{item.policy, 4};
        std::uint64_t number = 0;
        const auto submit_small = [&] {
            fixture.submit("job-" + std::to_string(++number), 30, duration_ms{120});
        };
        // Ends are spread over the run time of the small tasks.
        for (int index = 0; index < 8; ++index) {
            submit_small();
            fixture.advance(duration_ms{15});
        }
        const auto large = "job-" + std::to_string(++number);
        fixture.submit(large, 48, duration_ms{100});
        const auto waits_since = fixture.now;
        for (int index = 0; index < 40; ++index) {
            submit_small();
            fixture.advance(duration_ms{15});
        }
        CHECK(fixture.started.contains(large) == !item.starved);
        if (!item.starved) {
            CHECK(fixture.started[large] - waits_since <= item.longest_wait);
        }
    }
}

// Guards against a reserved target on which nothing runs although a short task would have ended
// before the reserved start.
TEST_CASE("a short task uses a reserved target until the reserved start") {
    placement_fixture fixture{placement_policy::backfill, 1};
    fixture.submit("job-1", 30, duration_ms{500});
    fixture.submit("job-2", 48, duration_ms{100});
    CHECK_FALSE(fixture.started.contains("job-2"));
    fixture.submit("job-3", 20, duration_ms{700});
    CHECK_FALSE(fixture.started.contains("job-3"));
    fixture.submit("job-4", 30, duration_ms{200});
    CHECK(fixture.started.contains("job-4"));
    fixture.advance(duration_ms{520});
    CHECK(fixture.started.contains("job-2"));
}

} // namespace
} // namespace hawthornstall::runs
