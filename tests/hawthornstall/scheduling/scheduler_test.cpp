#include "hawthornstall/scheduling/scheduler.hpp"
#include "hawthornstall/scheduling/slot_capacity.hpp"

#include <doctest/doctest.h>

#include <array>
#include <string>
#include <vector>

namespace hawthornstall::scheduling {
namespace {

using core::duration_ms;
using core::outcome_class;
using test_scheduler = scheduler<fewest_remaining, slot_capacity>;

constexpr core::time_ms start_time = core::from_count(1'000);
constexpr duration_ms run_time{100};

core::service_document make_document() {
    core::service_document document;
    document.task.expected_run_time = run_time;
    return document;
}

/// A scheduler with `slots.size()` targets, and the decisions of its last call.
struct bench {
    explicit bench(std::vector<std::uint32_t> slots,
                   const core::service_document& document = make_document())
        : subject(document) {
        for (std::size_t index = 0; index < slots.size(); ++index) {
            subject.set_target("target-" + std::to_string(index), {.slots = slots[index]}, true);
        }
    }

    void submit(std::uint64_t id, std::size_t tasks, job_terms terms = {}) {
        const std::vector<duration_ms> declared(tasks, run_time);
        terms.declared_run_times = declared;
        if (terms.deadline == core::time_ms{}) {
            terms.deadline = now + duration_ms{10'000};
        }
        subject.submit(static_cast<job_id>(id), terms, now);
        decide();
    }

    const decisions& decide(duration_ms later = {}) {
        now += later;
        subject.decide(now, last);
        return last;
    }

    const decisions& finish(const start_decision& start, attempt_result result,
                            duration_ms later = {}) {
        now += later;
        subject.finished(start.attempt, result, now);
        return decide();
    }

    test_scheduler subject;
    core::time_ms now = start_time;
    decisions last;
};

// Guards against wrong outcome classes: a refusal that ran, a retry of work that may have run, or a
// retry that the document does not allow.
TEST_CASE("an attempt's result ends or repeats its task") {
    struct scenario {
        const char* name;
        bool idempotent;
        bool single;
        bool retry_failed_starts;
        attempt_result result;
        bool starts_again;
        outcome_class outcome;
    };
    using enum attempt_result;
    const std::array scenarios{
        scenario{"job, failed", true, false, false, failed, false, outcome_class::failed},
        scenario{"job, failed, allowed", true, false, true, failed, true, {}},
        scenario{"billed job, failed, allowed", false, false, true, failed, false,
                 outcome_class::failed},
        scenario{"job, not run", false, false, false, not_run, true, {}},
        scenario{"job, lost, allowed", true, false, true, lost, false, outcome_class::may_have_run},
        scenario{"request, failed", true, true, false, failed, true, {}},
        scenario{"request, lost", true, true, false, lost, true, {}},
        scenario{"billed request, lost", false, true, true, lost, false,
                 outcome_class::may_have_run},
        scenario{"request, answered", false, true, false, answered, false, outcome_class::answered},
    };
    for (const auto& item : scenarios) {
        CAPTURE(item.name);
        auto document = make_document();
        document.retry.retry_failed_starts = item.retry_failed_starts;
        bench setup{{1, 1}, document};
        setup.submit(7, 1, {.idempotent = item.idempotent, .single = item.single});
        REQUIRE(setup.last.starts.size() == 1);
        const auto first = setup.last.starts[0];
        const auto& next = setup.finish(first, item.result, duration_ms{5});
        REQUIRE(next.starts.size() == (item.starts_again ? 1 : 0));
        REQUIRE(next.ends.size() == (item.starts_again ? 0 : 1));
        if (item.starts_again) {
            CHECK(next.starts[0].attempt_number == 2);
            CHECK(next.starts[0].target != first.target);
        } else {
            CHECK(next.ends[0].outcome == item.outcome);
            CHECK(setup.subject.open_jobs() == 0);
        }
        // A second report of the same attempt must not end the task again.
        CHECK(setup.finish(first, answered).ends.empty());
    }
}

// Guards against jobs that are refused late, without reason, or that hang for ever.
TEST_CASE("jobs that cannot be served are refused before anything ran") {
    struct scenario {
        const char* name;
        std::vector<std::uint32_t> slots;
        std::uint32_t max_queued;
        std::size_t tasks_before;
        std::size_t tasks;
        end_reason reason;
        bool has_hint;
    };
    const std::array scenarios{
        scenario{"targets without room", {0, 0}, 100, 0, 1, end_reason::cannot_ever_run, false},
        scenario{"queue full", {1}, 10, 10, 2, end_reason::queue_quota, true},
        scenario{"larger than the quota", {1}, 10, 0, 11, end_reason::queue_quota, false},
        scenario{
            "queue longer than the deadline", {1}, 10'000, 500, 1, end_reason::expected_wait, true},
        scenario{"fits", {1}, 100, 10, 1, end_reason::none, false},
        scenario{"no target yet", {}, 100, 0, 1, end_reason::none, false},
    };
    for (const auto& item : scenarios) {
        CAPTURE(item.name);
        auto document = make_document();
        document.quota.max_queued_tasks = item.max_queued;
        bench setup{item.slots, document};
        if (item.tasks_before > 0) {
            setup.submit(1, item.tasks_before, {.deadline = setup.now + duration_ms{1'000'000}});
            // The first job is old, so that a later small one does not overtake it.
            setup.decide(duration_ms{9'000});
        }
        setup.submit(2, item.tasks);
        if (item.reason == end_reason::none) {
            CHECK(setup.last.ends.empty());
            continue;
        }
        REQUIRE(setup.last.ends.size() == 1);
        CHECK(setup.last.ends[0].outcome == outcome_class::refused_not_run);
        CHECK(setup.last.ends[0].reason == item.reason);
        CHECK((setup.last.ends[0].retry_after.count() > 0) == item.has_hint);
    }
}

// Guards against capacity that stays reserved for a task that was never sent.
TEST_CASE("a task that was not sent frees its slot and starts again") {
    for (const auto cause : {not_sent_cause::journal, not_sent_cause::target}) {
        bench setup{{1}};
        setup.submit(1, 1);
        REQUIRE(setup.last.starts.size() == 1);
        setup.subject.not_sent(setup.last.starts[0].attempt, cause, setup.now);
        CHECK(setup.subject.attempts_in_flight() == 0);
        setup.decide();
        if (cause == not_sent_cause::journal) {
            CHECK(setup.last.starts.empty());
            REQUIRE(setup.last.next_call.has_value());
            setup.decide(*setup.last.next_call - setup.now);
        }
        REQUIRE(setup.last.starts.size() == 1);
        CHECK(setup.last.starts[0].attempt_number == 2);
    }
}

// Guards against a tight loop of refusals by a target that other services keep busy.
TEST_CASE("a target that refuses a task as busy rests until another attempt ends there") {
    for (const bool other_ends : {false, true}) {
        CAPTURE(other_ends);
        bench setup{{2}};
        setup.submit(1, 2);
        REQUIRE(setup.last.starts.size() == 2);
        const auto starts = setup.last.starts;
        CHECK(setup.finish(starts[0], attempt_result::not_run).starts.empty());
        if (other_ends) {
            setup.finish(starts[1], attempt_result::answered, duration_ms{10});
        } else {
            CHECK(setup.decide(duration_ms{99}).starts.empty());
            setup.decide(duration_ms{1});
        }
        CHECK(setup.last.starts.size() == 1);
    }
}

// Guards against answers without results, stops that are not sent, and slots that are given away
// while the target still runs a stopped task.
TEST_CASE("a cancelled or expired job ends once and stops what runs") {
    for (const bool cancel : {true, false}) {
        CAPTURE(cancel);
        bench setup{{2}};
        setup.submit(1, 5);
        REQUIRE(setup.last.starts.size() == 2);
        const auto starts = setup.last.starts;
        if (cancel) {
            setup.subject.cancel(job_id{1});
            setup.decide();
        } else {
            setup.decide(duration_ms{9'999});
            CHECK(setup.last.ends.empty());
            setup.decide(duration_ms{1});
        }
        REQUIRE(setup.last.ends.size() == 1);
        CHECK(setup.last.ends[0].outcome == outcome_class::may_have_run);
        CHECK(setup.last.stops.size() == 2);
        CHECK(setup.subject.queued_tasks() == 0);
        setup.submit(2, 1);
        CHECK(setup.last.starts.empty());
        CHECK(setup.finish(starts[0], attempt_result::failed).starts.size() == 1);
        setup.subject.cancel(job_id{1});
        CHECK(setup.decide().ends.empty());
    }
}

// Guards against a refusal that reaches the caller only after its deadline.
TEST_CASE("a job that never starts is refused before its deadline") {
    bench setup{{}};
    setup.submit(1, 3);
    const auto deadline = setup.now + duration_ms{10'000};
    while (setup.last.ends.empty() && setup.last.next_call && setup.now < deadline) {
        setup.decide(*setup.last.next_call - setup.now);
    }
    CHECK(setup.now < deadline);
    REQUIRE(setup.last.ends.size() == 1);
    CHECK(setup.last.ends[0].outcome == outcome_class::refused_not_run);
    CHECK(setup.last.ends[0].reason == end_reason::deadline);
}

// Guards against two attempts that both count, and against hedges of work that must run once.
TEST_CASE("a straggler of idempotent work is hedged once and the loser is stopped") {
    for (const bool idempotent : {true, false}) {
        CAPTURE(idempotent);
        auto document = make_document();
        document.retry.hedge = true;
        bench setup{{1, 1}, document};
        setup.submit(1, 1, {.idempotent = idempotent, .single = true});
        const auto first = setup.last.starts.at(0);
        setup.decide(duration_ms{1'000});
        REQUIRE(setup.last.starts.size() == (idempotent ? 1 : 0));
        if (idempotent) {
            const auto second = setup.last.starts[0];
            CHECK(second.target != first.target);
            setup.finish(second, attempt_result::answered, duration_ms{50});
            REQUIRE(setup.last.ends.size() == 1);
            REQUIRE(setup.last.stops.size() == 1);
            CHECK(setup.last.stops[0].attempt == first.attempt);
            CHECK(setup.finish(first, attempt_result::answered).ends.empty());
            CHECK(setup.subject.attempts_in_flight() == 0);
        }
    }
}

// Guards against retries that multiply load when everything fails.
TEST_CASE("the retry budget bounds the attempts when every task fails") {
    bench setup{{8, 8, 8, 8}};
    std::size_t attempts = 0;
    constexpr std::size_t requests = 2'000;
    for (std::uint64_t id = 0; id < requests; ++id) {
        setup.submit(id, 1, {.idempotent = true, .single = true});
        while (!setup.last.starts.empty()) {
            ++attempts;
            const auto start = setup.last.starts[0];
            setup.finish(start, attempt_result::failed, duration_ms{1});
        }
    }
    CHECK(attempts <= requests + static_cast<std::size_t>(retry_budget::max_tokens));
    CHECK(setup.subject.open_jobs() == 0);
}

} // namespace
} // namespace hawthornstall::scheduling
