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

/// A scheduler with one target per element of `slots`, its clock, and the decisions of its last
/// call.
struct scheduler_fixture {
    explicit scheduler_fixture(std::vector<std::uint32_t> slots,
                               const core::service_document& document = make_document())
        : subject(document) {
        for (std::size_t index = 0; index < slots.size(); ++index) {
            subject.set_target("target-" + std::to_string(index), {.slots = slots[index]}, true);
        }
    }

    /// Submits a job of equal tasks, with a deadline in 10 s unless `terms` has one.
    void submit(std::uint64_t id, std::size_t tasks, job_terms terms = {}) {
        const std::vector<duration_ms> declared(tasks, run_time);
        terms.declared_run_times = declared;
        if (terms.deadline == core::time_ms{}) {
            terms.deadline = now + duration_ms{10'000};
        }
        subject.submit(static_cast<job_id>(id), terms, now);
        decide();
    }

    /// Advances the clock by `later` and calls decide().
    const decisions& decide(duration_ms later = {}) {
        now += later;
        subject.decide(now, last);
        return last;
    }

    /// Reports the end of an attempt after `later` and calls decide().
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

// Guards against wrong outcomes: a job reported as not run although a task ran, a retry of work
// that may have run and must not run twice, or a retry that the service document does not allow.
TEST_CASE("the result of an attempt ends the job or starts the task again") {
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
        scenario{"job, failed, retries not allowed", true, false, false, failed, false,
                 outcome_class::failed},
        scenario{"job, failed, retries allowed", true, false, true, failed, true, {}},
        scenario{"job not idempotent, failed, retries allowed", false, false, true, failed, false,
                 outcome_class::failed},
        scenario{"job, not run", false, false, false, not_run, true, {}},
        scenario{"job, lost, retries allowed", true, false, true, lost, false,
                 outcome_class::may_have_run},
        scenario{"request, failed", true, true, false, failed, true, {}},
        scenario{"request, lost", true, true, false, lost, true, {}},
        scenario{"request not idempotent, lost", false, true, true, lost, false,
                 outcome_class::may_have_run},
        scenario{"request, answered", false, true, false, answered, false, outcome_class::answered},
    };
    for (const auto& item : scenarios) {
        CAPTURE(item.name);
        auto document = make_document();
        document.retry.retry_failed_starts = item.retry_failed_starts;
        scheduler_fixture fixture{{1, 1}, document};
        fixture.submit(7, 1, {.idempotent = item.idempotent, .single_request = item.single});
        REQUIRE(fixture.last.starts.size() == 1);
        const auto first = fixture.last.starts[0];
        const auto& next = fixture.finish(first, item.result, duration_ms{5});
        REQUIRE(next.starts.size() == (item.starts_again ? 1 : 0));
        REQUIRE(next.ends.size() == (item.starts_again ? 0 : 1));
        if (item.starts_again) {
            CHECK(next.starts[0].attempt_number == 2);
            CHECK(next.starts[0].target != first.target);
        } else {
            CHECK(next.ends[0].outcome == item.outcome);
            CHECK(fixture.subject.open_jobs() == 0);
        }
        // A repeated report of the same attempt must have no effect.
        CHECK(fixture.finish(first, answered).ends.empty());
    }
}

// Guards against refusing jobs that can be served, and against queueing jobs that cannot.
TEST_CASE("jobs that cannot be served are refused at submission") {
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
        scenario{
            "targets without slots", {0, 0}, 100, 0, 1, end_reason::no_target_large_enough, false},
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
        scheduler_fixture fixture{item.slots, document};
        if (item.tasks_before > 0) {
            fixture.submit(1, item.tasks_before,
                           {.deadline = fixture.now + duration_ms{1'000'000}});
            // After 9 s the first job has aged so far that a small new one does not overtake it.
            fixture.decide(duration_ms{9'000});
        }
        fixture.submit(2, item.tasks);
        if (item.reason == end_reason::none) {
            CHECK(fixture.last.ends.empty());
            continue;
        }
        REQUIRE(fixture.last.ends.size() == 1);
        CHECK(fixture.last.ends[0].outcome == outcome_class::refused_not_run);
        CHECK(fixture.last.ends[0].reason == item.reason);
        CHECK((fixture.last.ends[0].retry_after.count() > 0) == item.has_hint);
    }
}

// Guards against capacity that stays reserved for a task that was never sent, and against dropping
// such a task.
TEST_CASE("a task that was not sent frees its slot and starts again") {
    for (const auto cause : {not_sent_cause::journal_failed, not_sent_cause::target_unreachable}) {
        scheduler_fixture fixture{{1}};
        fixture.submit(1, 1);
        REQUIRE(fixture.last.starts.size() == 1);
        fixture.subject.not_sent(fixture.last.starts[0].attempt, cause, fixture.now);
        CHECK(fixture.subject.attempts_in_flight() == 0);
        fixture.decide();
        if (cause == not_sent_cause::journal_failed) {
            CHECK(fixture.last.starts.empty());
            REQUIRE(fixture.last.next_call.has_value());
            fixture.decide(*fixture.last.next_call - fixture.now);
        }
        REQUIRE(fixture.last.starts.size() == 1);
        CHECK(fixture.last.starts[0].attempt_number == 2);
    }
}

// Guards against a number of attempts that starts again at 0, after which a task is retried beyond
// the attempts that the service document allows.
TEST_CASE("attempts that were not sent count towards the attempts of a task") {
    struct scenario {
        std::uint32_t not_sent;
        bool retried; ///< After one attempt that was sent and failed.
    };
    constexpr std::array scenarios{scenario{0, true}, scenario{2, false}, scenario{254, false},
                                   scenario{255, false}, scenario{300, false}};
    for (const auto& item : scenarios) {
        CAPTURE(item.not_sent);
        scheduler_fixture fixture{{1, 1}};
        fixture.submit(1, 1, {.idempotent = true, .single_request = true});
        for (std::uint32_t count = 0; count < item.not_sent; ++count) {
            fixture.subject.not_sent(fixture.last.starts.at(0).attempt, not_sent_cause::stopped,
                                     fixture.now);
            fixture.decide();
        }
        const auto start = fixture.last.starts.at(0);
        CHECK(start.attempt_number == item.not_sent + 1);
        fixture.finish(start, attempt_result::failed);
        CHECK(fixture.last.starts.size() == (item.retried ? 1 : 0));
    }
}

// Guards against an immediate retry, over and over, on a target that refuses tasks because other
// services keep it busy.
TEST_CASE("a target that refuses a task is paused for 100 ms or until an attempt ends there") {
    for (const bool other_ends : {false, true}) {
        CAPTURE(other_ends);
        scheduler_fixture fixture{{2}};
        fixture.submit(1, 2);
        REQUIRE(fixture.last.starts.size() == 2);
        const auto starts = fixture.last.starts;
        CHECK(fixture.finish(starts[0], attempt_result::not_run).starts.empty());
        if (other_ends) {
            fixture.finish(starts[1], attempt_result::answered, duration_ms{10});
        } else {
            CHECK(fixture.decide(duration_ms{99}).starts.empty());
            fixture.decide(duration_ms{1});
        }
        CHECK(fixture.last.starts.size() == 1);
    }
}

// Guards against jobs that end more than once, stops that are not sent, and target slots that
// are reused while the target still runs a stopped task.
TEST_CASE("a cancelled or expired job ends once and its attempts are stopped") {
    for (const bool cancel : {true, false}) {
        CAPTURE(cancel);
        scheduler_fixture fixture{{2}};
        fixture.submit(1, 5);
        REQUIRE(fixture.last.starts.size() == 2);
        const auto starts = fixture.last.starts;
        if (cancel) {
            fixture.subject.cancel(job_id{1});
            fixture.decide();
        } else {
            fixture.decide(duration_ms{9'999});
            CHECK(fixture.last.ends.empty());
            fixture.decide(duration_ms{1});
        }
        REQUIRE(fixture.last.ends.size() == 1);
        CHECK(fixture.last.ends[0].outcome == outcome_class::may_have_run);
        CHECK(fixture.last.stops.size() == 2);
        CHECK(fixture.subject.queued_tasks() == 0);
        fixture.submit(2, 1);
        CHECK(fixture.last.starts.empty());
        CHECK(fixture.finish(starts[0], attempt_result::failed).starts.size() == 1);
        fixture.subject.cancel(job_id{1});
        CHECK(fixture.decide().ends.empty());
    }
}

// Guards against a refusal that reaches the caller only after its deadline.
TEST_CASE("a job that never starts is refused before its deadline") {
    scheduler_fixture fixture{{}};
    fixture.submit(1, 3);
    const auto deadline = fixture.now + duration_ms{10'000};
    while (fixture.last.ends.empty() && fixture.last.next_call && fixture.now < deadline) {
        fixture.decide(*fixture.last.next_call - fixture.now);
    }
    CHECK(fixture.now < deadline);
    REQUIRE(fixture.last.ends.size() == 1);
    CHECK(fixture.last.ends[0].outcome == outcome_class::refused_not_run);
    CHECK(fixture.last.ends[0].reason == end_reason::deadline);
}

// Guards against a job that ends twice because both attempts of a hedged task are answered, and
// against hedges of work that must not run twice.
TEST_CASE("a slow attempt of idempotent work is hedged once and the other attempt is stopped") {
    for (const bool idempotent : {true, false}) {
        CAPTURE(idempotent);
        auto document = make_document();
        document.retry.hedge = true;
        scheduler_fixture fixture{{1, 1}, document};
        fixture.submit(1, 1, {.idempotent = idempotent, .single_request = true});
        const auto first = fixture.last.starts.at(0);
        fixture.decide(duration_ms{1'000});
        REQUIRE(fixture.last.starts.size() == (idempotent ? 1 : 0));
        if (idempotent) {
            const auto second = fixture.last.starts[0];
            CHECK(second.target != first.target);
            fixture.finish(second, attempt_result::answered, duration_ms{50});
            REQUIRE(fixture.last.ends.size() == 1);
            REQUIRE(fixture.last.stops.size() == 1);
            CHECK(fixture.last.stops[0].attempt == first.attempt);
            CHECK(fixture.finish(first, attempt_result::answered).ends.empty());
            CHECK(fixture.subject.attempts_in_flight() == 0);
        }
    }
}

// Guards against retries that multiply the load when all tasks fail.
TEST_CASE("the retry budget bounds the attempts when every task fails") {
    scheduler_fixture fixture{{8, 8, 8, 8}};
    std::size_t attempts = 0;
    constexpr std::size_t requests = 2'000;
    for (std::uint64_t id = 0; id < requests; ++id) {
        fixture.submit(id, 1, {.idempotent = true, .single_request = true});
        while (!fixture.last.starts.empty()) {
            ++attempts;
            const auto start = fixture.last.starts[0];
            fixture.finish(start, attempt_result::failed, duration_ms{1});
        }
    }
    CHECK(attempts <= requests + static_cast<std::size_t>(retry_budget::max_tokens));
    CHECK(fixture.subject.open_jobs() == 0);
}

} // namespace
} // namespace hawthornstall::scheduling
