#include "hawthornstall/runs/request_filters.hpp"

#include <doctest/doctest.h>

#include <cstdint>
#include <string_view>
#include <vector>

namespace hawthornstall::runs {
namespace {

job_step make_step(std::uint32_t count, std::vector<std::uint32_t> after = {}) {
    return {.count = count,
            .resources = {.cpu_millis = 500, .memory_mb = 64},
            .estimated = core::duration_ms{900},
            .after = std::move(after)};
}

job_step with_resources(core::resources resources) {
    auto step = make_step(1);
    step.resources = resources;
    return step;
}

job_step with_estimate(core::duration_ms estimated) {
    auto step = make_step(1);
    step.estimated = estimated;
    return step;
}

struct job_case {
    std::string_view name;
    std::vector<job_step> steps;
    bool accepted = true;
};

// Guards against a job whose numbers overflow sums over all jobs, lower the use of a target, or
// take memory without limit.
TEST_CASE("a job is accepted up to each limit") {
    constexpr std::uint32_t max_tasks = 4'096;
    auto most_work = with_resources({.cpu_millis = max_request.cpu_millis});
    most_work.estimated = core::duration_ms{max_work / max_request.cpu_millis};
    auto too_much_work = most_work;
    too_much_work.count = 2;
    const std::vector<job_case> cases{
        {"one task", {make_step(1)}},
        {"a chain", {make_step(1), make_step(2, {0}), make_step(1, {0, 1})}},
        {"most tasks", {make_step(max_tasks)}},
        {"too many tasks", {make_step(max_tasks + 1)}, false},
        {"no task", {make_step(0)}, false},
        {"no step", {}, false},
        {"most steps", std::vector<job_step>(max_tasks, make_step(1))},
        {"too many steps",
         [] {
             std::vector<job_step> steps(max_tasks, make_step(0));
             steps.push_back(make_step(1));
             return steps;
         }(),
         false},
        {"after itself", {make_step(1, {0})}, false},
        {"after a step twice", {make_step(1), make_step(1, {0, 0})}},
        {"largest request", {with_resources(max_request)}},
        {"too many cores", {with_resources({.cpu_millis = max_request.cpu_millis + 1})}, false},
        {"too much memory", {with_resources({.memory_mb = max_request.memory_mb + 1})}, false},
        {"too many accelerators",
         {with_resources({.accelerators = max_request.accelerators + 1})},
         false},
        {"negative cores", {with_resources({.cpu_millis = -1})}, false},
        {"negative memory", {with_resources({.memory_mb = -1})}, false},
        {"negative accelerators", {with_resources({.accelerators = -1})}, false},
        {"longest run time", {with_estimate(max_time)}},
        {"too long run time", {with_estimate(max_time + core::duration_ms{1})}, false},
        {"negative run time", {with_estimate(core::duration_ms{-1})}, false},
        {"most work", {most_work}},
        {"too much work", {too_much_work}, false},
    };
    for (const auto& item : cases) {
        CAPTURE(item.name);
        CHECK(check_job({.id = "j", .specification = {}, .steps = item.steps, .terms = {}}).ok() ==
              item.accepted);
    }
}

} // namespace
} // namespace hawthornstall::runs
