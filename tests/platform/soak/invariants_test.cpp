#include "platform/soak/invariants.hpp"

#include <doctest/doctest.h>

#include <array>
#include <string>
#include <string_view>
#include <vector>

namespace hawthornstall::platform::soak {
namespace {

struct invariant_case {
    std::string_view name;
    std::vector<submitted_job> jobs;
    std::vector<logged_run> runs;
    std::string_view violation; ///< Start of the only line; empty if none is expected.
};

submitted_job make_job(std::vector<job_attempt> attempts) {
    return {.id = "a", .tasks = 2, .attempts = std::move(attempts)};
}

logged_run make_run(const std::string& task, const std::string& worker, std::int64_t start,
                    std::int64_t end, const std::string& outcome = "done",
                    std::uint64_t number = 1) {
    return {.task = task,
            .number = number,
            .worker = worker,
            .start = start,
            .end = end,
            .outcome = outcome};
}

// Guards against invariant checks that miss a violation, which would let every soak run pass, and
// against checks that report a violation where there is none.
TEST_CASE("each violation is reported, and nothing else") {
    const job_attempt served{.sent = 0, .ended = 100, .status = 200};
    const job_attempt refused{.sent = 0, .ended = 100, .status = 503};
    const job_attempt lost{.sent = 0, .ended = 100, .status = 502};
    const std::array cases{
        invariant_case{"complete answer",
                       {make_job({served})},
                       {make_run("a.0.0.0", "w1", 10, 60), make_run("a.0.0.1", "w1", 10, 70)},
                       ""},
        invariant_case{
            "partial answer",
            {make_job({served})},
            {make_run("a.0.0.0", "w1", 10, 60), make_run("a.0.0.1", "w1", 10, 70, "lapsed")},
            "job a was answered with 1 of 2 tasks done"},
        invariant_case{"answer before the last task is done",
                       {make_job({served})},
                       {make_run("a.0.0.0", "w1", 10, 60), make_run("a.0.0.1", "w1", 10, 170)},
                       "job a was answered with 1 of 2 tasks done"},
        invariant_case{"refused and not run", {make_job({refused})}, {}, ""},
        invariant_case{"refused, but it ran",
                       {make_job({refused})},
                       {make_run("a.0.0.0", "w1", 10, 60)},
                       "refused as not run, but there was run 1 of a.0.0.0"},
        invariant_case{"refused after an indefinite answer",
                       {make_job({lost, refused})},
                       {make_run("a.0.0.0", "w1", 10, 60)},
                       ""},
        invariant_case{"a second run after the first one",
                       {make_job({lost})},
                       {make_run("a.0.0.0", "w1", 10, 60, "stopped"),
                        make_run("a.0.0.0", "w2", 60, 90, "done", 2)},
                       ""},
        invariant_case{"two runs at the same time",
                       {make_job({lost})},
                       {make_run("a.0.0.0", "w1", 10, 60, "stopped"),
                        make_run("a.0.0.0", "w2", 59, 90, "done", 2)},
                       "runs at the same time: run 1 of a.0.0.0 on w1"},
        invariant_case{"two runs at the same time on one worker",
                       {make_job({lost})},
                       {make_run("a.0.0.0", "w1", 10, 60, "stopped"),
                        make_run("a.0.0.0", "w1", 59, 90, "done", 2)},
                       "runs at the same time: run 1 of a.0.0.0 on w1"},
        invariant_case{"three runs on one worker",
                       {make_job({lost})},
                       {make_run("a.0.0.0", "w1", 10, 60), make_run("a.0.0.1", "w1", 10, 70),
                        make_run("b.0.0.0", "w1", 59, 90)},
                       "worker capacity exceeded by run 1 of b.0.0.0"},
        invariant_case{"no answer from a host with a fault",
                       {make_job({{.ended = 100, .timed_out = true}})},
                       {},
                       ""},
        invariant_case{"no answer from a host without a fault",
                       {make_job({{.ended = 100, .timed_out = true, .host_was_fault_free = true}})},
                       {},
                       "job a got no answer from a host without a fault"},
    };
    for (const auto& item : cases) {
        CAPTURE(item.name);
        const auto violations = find_violations(item.jobs, item.runs);
        REQUIRE(violations.size() == (item.violation.empty() ? 0 : 1));
        CHECK((violations.empty() || violations.front().starts_with(item.violation)));
    }
}

} // namespace
} // namespace hawthornstall::platform::soak
