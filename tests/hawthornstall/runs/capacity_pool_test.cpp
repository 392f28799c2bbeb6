#include "hawthornstall/runs/capacity_pool.hpp"

#include <doctest/doctest.h>

#include <array>
#include <cstdint>
#include <functional>
#include <random>
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
    std::vector<std::string> excluded;
    std::string_view avoid;
    std::string expected; ///< Empty: no target.
};

// Guards against placing a task on a target that lacks its label, lacks free resources, or runs as
// many tasks of the step as allowed.
TEST_CASE("a task is placed on the best eligible target") {
    capacity_pool pool;
    pool.report("h",
                {.targets = {make_target("small", 30'000, {"a", "r1"}),
                             make_target("middle", 64'000, {"b", "r1"}),
                             make_target("large", 96'000, {"a", "r2"})}},
                start_time);
    const std::array cases{
        pick_case{"tightest fit", "", "", {}, "", "small"},
        pick_case{"label", "b", "", {}, "", "middle"},
        pick_case{"unknown label", "z", "", {}, "", ""},
        pick_case{"on the rack of its data", "", "r2", {}, "", "large"},
        pick_case{"at the limit of the step", "", "", {"small"}, "", "middle"},
        pick_case{"not on the target of the failed run", "", "", {}, "small", "middle"},
        pick_case{"on the target of the failed run, if no other fits",
                  "a",
                  "",
                  {"large"},
                  "small",
                  "small"},
    };
    for (const auto& item : cases) {
        CAPTURE(item.name);
        job_step step;
        step.resources = {.cpu_millis = 27'000};
        step.required_label = item.label;
        step.data_rack = item.rack;
        const auto chosen = pool.pick(
            {.service = "restock", .step = &step, .excluded = item.excluded, .avoid = item.avoid},
            start_time);
        CHECK((chosen ? chosen->target : std::string{}) == item.expected);
    }
}

// Guards against placing tasks on slow targets while fast ones are free.
TEST_CASE("targets that run longer than declared are chosen last") {
    capacity_pool pool;
    pool.report("h", {.targets = {make_target("a", 64'000, {}), make_target("b", 64'000, {})}},
                start_time);
    for (int run = 0; run < 20; ++run) {
        pool.record_run_end("a", run_end::done, core::duration_ms{170}, core::duration_ms{100},
                            start_time);
        pool.record_run_end("b", run_end::done, core::duration_ms{70}, core::duration_ms{100},
                            start_time);
    }
    job_step step;
    step.resources = {.cpu_millis = 27'000};
    const placement_request request{.service = "restock", .step = &step};
    const auto chosen = pool.pick(request, start_time);
    REQUIRE(chosen.has_value());
    CHECK(chosen->target == "b");
}

struct health_case {
    std::string_view name;
    run_end end = run_end::failed;
    bool ejects = false;
};

// Guards against ejecting targets for runs that their lease holders rejected, and against keeping
// targets in use that fail every run.
TEST_CASE("only a target's own failures count against it") {
    constexpr std::array cases{
        health_case{"failed", run_end::failed, true},
        health_case{"lease ended", run_end::lapsed, true},
        health_case{"unhealthy", run_end::declined, true},
        health_case{"rejected by its holder", run_end::rejected, false},
        health_case{"stopped", run_end::stopped, false},
    };
    for (const auto& item : cases) {
        CAPTURE(item.name);
        capacity_pool pool;
        target_report report;
        for (int index = 0; index < 10; ++index) {
            report.targets.push_back(make_target("w-" + std::to_string(index), 64'000, {}));
        }
        pool.report("h", report, start_time);
        for (int run = 0; run < 3; ++run) {
            pool.record_run_end("w-0", item.end, core::duration_ms{60}, core::duration_ms{60},
                                start_time);
        }
        pool.report("h", report, start_time);
        job_step step;
        step.resources = {.cpu_millis = 64'000};
        std::size_t free = 0;
        for (; const auto chosen = pool.pick({.service = "restock", .step = &step}, start_time);
             ++free) {
            pool.reserve(chosen->target, step.resources);
        }
        CHECK(free == (item.ejects ? 9 : 10));
        constexpr core::duration_ms longest{60'000};
        pool.readmit(start_time + longest);
        CHECK(pool.pick({.service = "restock", .step = &step}, start_time + longest).has_value() ==
              item.ejects);
    }
}

// Guards against choosing a target again and again while its lease holder rejects every run.
TEST_CASE("after a rejected run a target is unusable until the next report") {
    capacity_pool pool;
    const target_report report{.targets = {make_target("a", 64'000, {})}};
    pool.report("h", report, start_time);
    job_step step;
    step.resources = {.cpu_millis = 27'000};
    pool.record_run_end("a", run_end::rejected, {}, {}, start_time);
    CHECK_FALSE(pool.pick({.service = "restock", .step = &step}, start_time).has_value());
    pool.report("h", report, start_time);
    CHECK(pool.pick({.service = "restock", .step = &step}, start_time).has_value());
}

struct holder_case {
    std::string_view name;
    std::string_view front_end;
    std::vector<std::string_view> job_holders;
    std::int64_t cpu_millis; ///< Of the task.
    std::string expected;
};

// Load: jobs of many tasks with large specifications, on hosts with narrow links. Guards against a
// job whose tasks are spread over more lease holders than necessary: each holder gets the
// specification, and the job is lost with any of them.
TEST_CASE("among equally tight targets one of a host that the job depends on comes first") {
    capacity_pool pool;
    pool.report("h1", {.targets = {make_target("a", 64'000, {}), make_target("b", 96'000, {})}},
                start_time);
    pool.report("h2", {.targets = {make_target("c", 66'000, {}), make_target("d", 98'000, {})}},
                start_time);
    pool.report("h3", {.targets = {make_target("e", 68'000, {})}}, start_time);
    const std::array cases{
        holder_case{"no holder yet", "x", {}, 27'000, "a"},
        holder_case{"a holder with a run of the job", "x", {"h2"}, 27'000, "c"},
        holder_case{"two holders with runs of the job", "x", {"h3", "h2"}, 27'000, "c"},
        holder_case{"the front end", "h3", {"h2"}, 27'000, "e"},
        holder_case{"a looser target of the same holder", "x", {"h2"}, 80'000, "d"},
        holder_case{"tight packing goes first", "x", {"h9"}, 65'000, "c"},
    };
    for (const auto& item : cases) {
        CAPTURE(item.name);
        job_step step;
        step.resources = {.cpu_millis = item.cpu_millis};
        const auto chosen = pool.pick({.service = "restock",
                                       .step = &step,
                                       .front_end = item.front_end,
                                       .job_holders = item.job_holders},
                                      start_time);
        CHECK((chosen ? chosen->target : std::string{}) == item.expected);
    }
}

struct fleet_case {
    std::string_view name;
    int holders = 0;
    int targets_per_holder = 0;
    int full_targets = 0;
    std::string rack;
};

// Guards against a scheduler whose processor time for a grant grows with the number of free
// targets: on a large deployment the messages to it wait longer than the tasks run.
TEST_CASE("few targets are examined for a task, however many are free") {
    constexpr std::uint64_t max_examined = 64;
    const std::array cases{
        fleet_case{"all free", 100, 5, 0, ""},
        fleet_case{"half of them full", 100, 5, 250, ""},
        fleet_case{"nearly all full", 100, 5, 490, ""},
        fleet_case{"data on a rack", 100, 5, 0, "rack-3"},
        fleet_case{"thousands free", 1'000, 5, 0, ""},
    };
    for (const auto& item : cases) {
        CAPTURE(item.name);
        capacity_pool pool;
        constexpr int targets_per_rack = 12;
        for (int holder = 0; holder < item.holders; ++holder) {
            target_report report;
            for (int index = 0; index < item.targets_per_holder; ++index) {
                const auto number = holder * item.targets_per_holder + index;
                report.targets.push_back(
                    make_target("w-" + std::to_string(number), 64'000,
                                {"rack-" + std::to_string(number / targets_per_rack)}));
            }
            pool.report("h-" + std::to_string(holder), report, start_time);
        }
        for (int number = 0; number < item.full_targets; ++number) {
            pool.reserve("w-" + std::to_string(number), {.cpu_millis = 64'000});
        }
        job_step step;
        step.resources = {.cpu_millis = 32'000};
        step.data_rack = item.rack;
        const std::array<std::string_view, 3> job_holders{"h-7", "h-97", "h-98"};
        const auto before = pool.targets_examined();
        const auto chosen = pool.pick(
            {.service = "restock", .step = &step, .front_end = "h-99", .job_holders = job_holders},
            start_time);
        REQUIRE(chosen.has_value());
        CHECK(pool.targets_examined() - before <= max_examined);
    }
}

/// Number before `what` in a description of a pool.
int count_of(const std::string& description, std::string_view what) {
    const auto end = description.find(std::string{" "} + std::string{what});
    const auto begin = description.rfind(", ", end);
    return std::stoi(description.substr(begin + 2, end - begin - 2));
}

// Guards against targets that an index has lost or kept after a change: tasks would wait beside
// free targets, or be placed on targets that are gone.
TEST_CASE("the indexes of a pool agree with its targets after any change") {
    constexpr std::array seeds{1U, 2U, 3U, 4U, 5U};
    constexpr core::resources half{.cpu_millis = 32'000};
    job_step step;
    step.resources = half;
    for (const auto seed : seeds) {
        CAPTURE(seed);
        std::mt19937 random{seed};
        const auto below = [&](unsigned limit) {
            return random() % limit;
        };
        capacity_pool pool;
        for (int change = 0; change < 2'000; ++change) {
            const auto id = "w-" + std::to_string(below(12));
            const auto holder = "h-" + std::to_string(below(3));
            switch (below(6)) {
            case 0:
                pool.report(holder, {.targets = {make_target(id, 64'000, {"r-" + id})}},
                            start_time);
                break;
            case 1:
                pool.reserve(id, half);
                break;
            case 2:
                pool.release(id, half);
                break;
            case 3:
                pool.record_run_end(id, run_end::done, core::duration_ms{50 + below(200)},
                                    core::duration_ms{100}, start_time);
                break;
            case 4:
                pool.record_run_end(id, run_end::rejected, {}, {}, start_time);
                break;
            default:
                if (below(10) == 0) {
                    pool.remove_holder(holder);
                }
            }
            const auto description = pool.describe(half);
            const bool has_room = count_of(description, "with room") > 0;
            const auto usable = count_of(description, "usable");
            REQUIRE(pool.has_free_target("restock", half, start_time) == has_room);
            REQUIRE(pool.pick({.service = "restock", .step = &step}, start_time).has_value() ==
                    has_room);
            REQUIRE(pool.usable_cpu_millis("restock") == 64'000 * usable);
        }
    }
}

struct occupancy_case {
    std::string_view name;
    std::function<void(capacity_pool&)> change;
    bool is_free; ///< Whether a task of a whole target is placed afterwards.
};

// Guards against a search by free capacity that goes by the capacity of before a change.
TEST_CASE("a target is found by its present free capacity") {
    const core::resources whole{.cpu_millis = 64'000};
    const target_report report{.targets = {make_target("a", 64'000, {})}};
    const std::array cases{
        occupancy_case{"nothing runs", [](capacity_pool&) {}, true},
        occupancy_case{"reserved", [&](capacity_pool& pool) { pool.reserve("a", whole); }, false},
        occupancy_case{"reserved and released",
                       [&](capacity_pool& pool) {
                           pool.reserve("a", whole);
                           pool.release("a", whole);
                       },
                       true},
        occupancy_case{"used by another scheduler",
                       [&](capacity_pool& pool) {
                           auto used = report;
                           used.targets[0].used_by_others = {.cpu_millis = 1};
                           pool.report("h", used, start_time);
                       },
                       false},
        occupancy_case{"its holder is lost", [](capacity_pool& pool) { pool.remove_holder("h"); },
                       false},
        occupancy_case{"its holder is lost and another one reports it",
                       [&](capacity_pool& pool) {
                           pool.reserve("a", whole);
                           pool.remove_holder("h");
                           pool.report("g", report, start_time);
                       },
                       true},
    };
    for (const auto& item : cases) {
        CAPTURE(item.name);
        capacity_pool pool;
        pool.report("h", report, start_time);
        item.change(pool);
        job_step step;
        step.resources = whole;
        CHECK(pool.pick({.service = "restock", .step = &step}, start_time).has_value() ==
              item.is_free);
        CHECK(pool.has_free_target("restock", whole, start_time) == item.is_free);
    }
}

} // namespace
} // namespace hawthornstall::runs
