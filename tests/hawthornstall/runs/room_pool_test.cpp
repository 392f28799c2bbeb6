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

} // namespace
} // namespace hawthornstall::runs
