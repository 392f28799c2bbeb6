#include "platform/standin/worker_model.hpp"

#include <doctest/doctest.h>

#include <array>
#include <string>
#include <string_view>
#include <vector>

namespace hawthornstall::platform::standin {
namespace {

constexpr std::int64_t two_tasks_cpu_millis = 64'000;
constexpr std::int64_t start_ms = 1'000'000;

enum class action : std::uint8_t { start, stop, pass };

/// One call to the worker, or the time in ms that passes.
struct step {
    action kind = action::start;
    std::string task{};
    std::uint64_t run = 1;
    std::int64_t ms = 0; ///< Run time of a started task, or the time that passes.
};

struct rule_case {
    std::string_view name;
    std::vector<step> steps;
    std::string_view violation; ///< Empty if no rule is violated.
};

std::string violation_after(const std::vector<step>& steps) {
    worker_model model{two_tasks_cpu_millis, 1};
    auto now = core::from_count(start_ms);
    for (const auto& item : steps) {
        model.advance(now);
        const nlohmann::json call{{"task", item.task},
                                  {"run", item.run},
                                  {"specification", std::to_string(item.ms)},
                                  {"fencing_token", 1},
                                  {"deadline_ms", core::to_count(now) + 800}};
        switch (item.kind) {
        case action::start:
            (void)model.start(call, now);
            break;
        case action::stop:
            (void)model.stop(call, now);
            break;
        case action::pass:
            now += core::duration_ms{item.ms};
            break;
        }
    }
    return model.violation();
}

// Guards against a stand-in that accepts calls which the platform forbids, so that no test notices
// an entry host that makes them.
TEST_CASE("each start that breaks a rule is noticed, and no other") {
    const step pass{.kind = action::pass, .ms = 100};
    const step long_pass{.kind = action::pass, .ms = 900};
    const std::array cases{
        rule_case{"one run", {{.task = "a", .ms = 50}, pass}, ""},
        rule_case{"the same start twice", {{.task = "a", .ms = 500}, {.task = "a", .ms = 500}}, ""},
        rule_case{"two tasks", {{.task = "a", .ms = 500}, {.task = "b", .ms = 500}}, ""},
        rule_case{"three tasks",
                  {{.task = "a", .ms = 500}, {.task = "b", .ms = 500}, {.task = "c", .ms = 500}},
                  "more runs were started than the capacity allows"},
        rule_case{"a second run beside the first one",
                  {{.task = "a", .ms = 500}, pass, {.task = "a", .run = 2, .ms = 500}},
                  "a task was started while another run of it was running: a"},
        rule_case{"an earlier run beside a later one",
                  {{.task = "a", .run = 2, .ms = 500}, pass, {.task = "a", .ms = 500}},
                  "a task was started while another run of it was running: a"},
        rule_case{"a second run after a stop",
                  {{.task = "a", .ms = 500},
                   {.kind = action::stop, .task = "a"},
                   {.task = "a", .run = 2, .ms = 500}},
                  ""},
        rule_case{"a second run after the lease of the first one",
                  {{.task = "a", .ms = 2'000}, long_pass, {.task = "a", .run = 2, .ms = 500}},
                  ""},
        rule_case{"a second run after the task was done",
                  {{.task = "a", .ms = 50}, pass, {.task = "a", .run = 2, .ms = 50}},
                  "a task was started after it was done: a"},
    };
    for (const auto& item : cases) {
        CAPTURE(item.name);
        CHECK(violation_after(item.steps) == item.violation);
    }
}

} // namespace
} // namespace hawthornstall::platform::standin
