#include "hawthornstall/runs/dispatch_logic.hpp"

#include <doctest/doctest.h>

#include <array>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace hawthornstall::runs {
namespace {

using core::duration_ms;

constexpr core::time_ms start_time = core::from_count(1'000'000);

struct outcome_case {
    std::string_view name;
    std::optional<std::string> scheduler;
    std::function<void(job_cancellations&)> act;
    cancellation_outcome expected = cancellation_outcome::undecided;
};

// Guards against a cancellation without an answer or with two, and against "no such job" although
// the scheduler has not said so, after which the job would run on unnoticed.
TEST_CASE("each request to cancel a job gets exactly one answer") {
    const auto answer = [](bool found) {
        return [found](job_cancellations& cancellations) {
            cancellations.answered("s", {.number = 1, .found = found});
            cancellations.answered("s", {.number = 1, .found = !found});
        };
    };
    const auto found_here = [](job_cancellations& cancellations) {
        cancellations.found_here(70);
        cancellations.answered("s", {.number = 1, .found = false});
    };
    const auto other_hosts = [](job_cancellations& cancellations) {
        cancellations.answered("other", {.number = 1, .found = true});
        cancellations.host_unreachable("other");
        cancellations.answered("s", {.number = 2, .found = true});
    };
    const auto unreachable = [](job_cancellations& cancellations) {
        cancellations.found_here(70);
        cancellations.host_unreachable("s");
    };
    const std::array cases{
        outcome_case{"known to the scheduler", "s", answer(true), cancellation_outcome::cancelled},
        outcome_case{"known nowhere", "s", answer(false), cancellation_outcome::unknown_job},
        outcome_case{"known here only", "s", found_here, cancellation_outcome::cancelled},
        outcome_case{"messages of other hosts", "s", other_hosts, cancellation_outcome::undecided},
        outcome_case{"scheduler lost", "s", unreachable, cancellation_outcome::undecided},
        outcome_case{"no scheduler", std::nullopt, [](job_cancellations&) {},
                     cancellation_outcome::undecided},
    };
    for (const auto& item : cases) {
        CAPTURE(item.name);
        job_cancellations cancellations;
        cancellations.open(70, "a", item.scheduler, start_time);
        item.act(cancellations);
        cancellations.tick(start_time + job_cancellations::answer_limit);
        const auto effects = cancellations.take_effects();
        REQUIRE(effects.answers.size() == 1);
        CHECK(effects.answers[0].request == 70);
        CHECK(effects.answers[0].job == "a");
        CHECK(effects.answers[0].outcome == item.expected);
        CHECK(effects.messages.size() == (item.scheduler ? 1 : 0));
    }
}

/// Links whose peers have given no sign of life.
struct silent_links {
    [[nodiscard]] net::sign_of_life last_sign_of_life(std::string_view /*peer*/) const {
        return {};
    }
};

/// One host that is front end and scheduler, on a virtual clock, with a holder of one target.
class host_fixture {
public:
    host_fixture() {
        advance(duration_ms{100});
        held_target target{.id = "w-1",
                           .incarnation = 1,
                           .service = "restock",
                           .zone = "bilbao",
                           .capacity = {.cpu_millis = 64'000, .memory_mb = 1'000},
                           .usable = true};
        logic.receive("holder", target_report{.targets = {target}}, silent_links{}, now);
        advance(duration_ms{1'500});
    }

    /// Advances the clock in ticks, since a longer pause would count as a stall of the process.
    void advance(duration_ms time) {
        constexpr duration_ms tick{100};
        for (const auto end = now + time; now < end; now += tick) {
            logic.tick(silent_links{}, now, now);
            collect();
        }
    }

    void collect() {
        auto effects = logic.take_effects(now);
        for (auto& answer : effects.answers) {
            answers.push_back(std::move(answer));
        }
        for (auto& answer : effects.cancellations) {
            cancellations.push_back(std::move(answer));
        }
        for (auto& message : effects.messages["holder"]) {
            if (const auto* const start = std::get_if<start_run>(&message)) {
                starts.push_back(*start);
            }
        }
    }

    /// Submits a job of two steps, of which the second waits for the first.
    void submit() {
        job_request job{.id = "a", .specification = "spec", .steps = {}, .terms = {}};
        job.steps.resize(2);
        for (auto& step : job.steps) {
            step.resources = {.cpu_millis = 27'000, .memory_mb = 64};
            step.estimated = duration_ms{2'500};
        }
        job.steps[1].after = {0};
        job.terms = {.service = "restock",
                     .max_attempts = 2,
                     .stretch = 1.6,
                     .latency_target = duration_ms{60},
                     .deadline = duration_ms{13'000}};
        logic.open(7, job, now, now);
        collect();
    }

    core::time_ms now = start_time;
    dispatch_logic logic{
        {.name = "self", .zone = "bilbao", .weight = 1.0}, run_bounds{}, 1, 1, start_time};
    std::vector<job_answer> answers;
    std::vector<cancellation_answer> cancellations;
    std::vector<start_run> starts;
};

// Guards against a cancelled job whose later steps start all the same: a caller that waits for the
// result of its job cancels it on another connection while the first step runs.
TEST_CASE("no step of a job starts after its cancellation was acknowledged") {
    host_fixture fixture;
    fixture.submit();
    REQUIRE(fixture.starts.size() == 1);
    fixture.logic.cancel(8, "a", fixture.now);
    fixture.collect();
    REQUIRE(fixture.cancellations.size() == 1);
    CHECK(fixture.cancellations[0].request == 8);
    CHECK(fixture.cancellations[0].outcome == cancellation_outcome::cancelled);
    REQUIRE(fixture.answers.size() == 1);
    CHECK(fixture.answers[0].request == 7);
    CHECK(fixture.answers[0].result == job_result::cancelled);
    const run_ended end{
        .key = fixture.starts[0].key, .end = run_end::done, .ran_for = duration_ms{2'500}};
    fixture.logic.receive("holder", end, silent_links{}, fixture.now);
    fixture.advance(duration_ms{100});
    CHECK(fixture.starts.size() == 1);
    CHECK(fixture.logic.scheduler().idle());
}

// Guards against "cancelled" for a job that nobody has.
TEST_CASE("the cancellation of an unknown job is answered as such") {
    host_fixture fixture;
    fixture.logic.cancel(8, "b", fixture.now);
    fixture.collect();
    REQUIRE(fixture.cancellations.size() == 1);
    CHECK(fixture.cancellations[0].outcome == cancellation_outcome::unknown_job);
}

} // namespace
} // namespace hawthornstall::runs
