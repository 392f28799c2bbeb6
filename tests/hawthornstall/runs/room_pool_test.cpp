#include "hawthornstall/runs/room_pool.hpp"

#include <doctest/doctest.h>

#include <array>
#include <string>
#include <string_view>
#include <vector>

namespace hawthornstall::runs {
namespace {

constexpr core::time_ms start_time = core::from_count(1'000'000);

held_target make_target(const std::string& id, std::int64_t cpu, std::vector<std::string> labels) {
    return {.id = id,
            .incarnation = 1,
            .service = "restock",
            .zone = "bilbao",
            .labels = std::move(labels),
            .capacity = {.cpu_millis = cpu},
            .usable = true};
}

struct pick_case {
    std::string_view name;
    std::string label;
    std::string rack;
    std::vector<std::string> crowded;
    std::string_view avoid;
    std::string expected; ///< Empty: no target.
};

// Guards against tasks on targets without the label, without room, or that are too crowded.
TEST_CASE("a task goes to the best target that may hold it") {
    room_pool pool;
    pool.report("h",
                {.targets = {make_target("small", 30'000, {"a", "r1"}),
                             make_target("middle", 64'000, {"b", "r1"}),
                             make_target("large", 96'000, {"a", "r2"})}},
                start_time);
    const std::array cases{
        pick_case{"tightest fit", "", "", {}, "", "small"},
        pick_case{"label", "b", "", {}, "", "middle"},
        pick_case{"unknown label", "z", "", {}, "", ""},
        pick_case{"near its data", "", "r2", {}, "", "large"},
        pick_case{"crowded", "", "", {"small"}, "", "middle"},
        pick_case{"not where it failed", "", "", {}, "small", "middle"},
        pick_case{"where it failed, if nowhere else", "a", "", {"large"}, "small", "small"},
    };
    for (const auto& item : cases) {
        CAPTURE(item.name);
        job_step step;
        step.room = {.cpu_millis = 27'000};
        step.required_label = item.label;
        step.data_rack = item.rack;
        const auto place = pool.pick(
            {.service = "restock", .step = &step, .crowded = item.crowded, .avoid = item.avoid},
            start_time);
        CHECK((place ? place->target : std::string{}) == item.expected);
    }
}

// Guards against work that goes to slow targets while fast ones are free.
TEST_CASE("targets that run longer than declared are taken last") {
    room_pool pool;
    pool.report("h", {.targets = {make_target("a", 64'000, {}), make_target("b", 64'000, {})}},
                start_time);
    for (int run = 0; run < 20; ++run) {
        pool.learn("a", run_end::done, core::duration_ms{170}, core::duration_ms{100}, start_time);
        pool.learn("b", run_end::done, core::duration_ms{70}, core::duration_ms{100}, start_time);
    }
    job_step step;
    step.room = {.cpu_millis = 27'000};
    const placement_request request{.service = "restock", .step = &step};
    const auto place = pool.pick(request, start_time);
    REQUIRE(place.has_value());
    CHECK(place->target == "b");
}

struct health_case {
    std::string_view name;
    run_end end = run_end::failed;
    bool ejects = false;
};

// Guards against targets that are shut out although their holders, and not they, turned runs down,
// and against targets that fail everything and stay in use.
TEST_CASE("only a target's own failures count against it") {
    constexpr std::array cases{
        health_case{"failed", run_end::failed, true},
        health_case{"lease ended", run_end::lapsed, true},
        health_case{"unhealthy", run_end::declined, true},
        health_case{"turned down by its holder", run_end::rejected, false},
        health_case{"stopped", run_end::stopped, false},
    };
    for (const auto& item : cases) {
        CAPTURE(item.name);
        room_pool pool;
        target_report report;
        for (int index = 0; index < 10; ++index) {
            report.targets.push_back(make_target("w-" + std::to_string(index), 64'000, {}));
        }
        pool.report("h", report, start_time);
        for (int run = 0; run < 3; ++run) {
            pool.learn("w-0", item.end, core::duration_ms{60}, core::duration_ms{60}, start_time);
        }
        pool.report("h", report, start_time);
        job_step step;
        step.room = {.cpu_millis = 64'000};
        std::size_t free = 0;
        for (; const auto place = pool.pick({.service = "restock", .step = &step}, start_time);
             ++free) {
            pool.reserve(place->target, step.room);
        }
        CHECK(free == (item.ejects ? 9 : 10));
        constexpr core::duration_ms longest{60'000};
        pool.readmit(start_time + longest);
        CHECK(pool.pick({.service = "restock", .step = &step}, start_time + longest).has_value() ==
              item.ejects);
    }
}

// Guards against a target that is offered again and again while its holder turns everything down.
TEST_CASE("a target whose holder turned a run down waits for the next report") {
    room_pool pool;
    const target_report report{.targets = {make_target("a", 64'000, {})}};
    pool.report("h", report, start_time);
    job_step step;
    step.room = {.cpu_millis = 27'000};
    pool.learn("a", run_end::rejected, {}, {}, start_time);
    CHECK_FALSE(pool.pick({.service = "restock", .step = &step}, start_time).has_value());
    pool.report("h", report, start_time);
    CHECK(pool.pick({.service = "restock", .step = &step}, start_time).has_value());
}

} // namespace
} // namespace hawthornstall::runs
