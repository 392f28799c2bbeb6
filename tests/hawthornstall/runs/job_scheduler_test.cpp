#include "hawthornstall/runs/job_scheduler.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <map>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace hawthornstall::runs {
namespace {

using core::duration_ms;

constexpr core::time_ms start_time = core::from_count(1'000'000);
constexpr core::resources one_task{.cpu_millis = 27'000, .memory_mb = 64};

job_request make_job(const std::string& id, std::uint32_t tasks, duration_ms run_time) {
    job_step step;
    step.count = tasks;
    step.resources = one_task;
    step.estimated = run_time;
    return {.id = id,
            .specification = "spec",
            .steps = {step},
            .terms = {.service = "restock",
                      .max_attempts = 2,
                      .stretch = 1.6,
                      .latency_target = duration_ms{60},
                      .deadline = duration_ms{1'500}}};
}

held_target make_target(const std::string& id) {
    return {.id = id,
            .incarnation = 1,
            .service = "restock",
            .zone = "bilbao",
            .capacity = {.cpu_millis = 64'000, .memory_mb = 1'000},
            .usable = true};
}

/// A scheduler on a virtual clock, with its messages sorted by kind.
class scheduler_fixture {
public:
    explicit scheduler_fixture(int targets) {
        scheduler.start_scheduling();
        target_report report;
        for (int index = 0; index < targets; ++index) {
            report.targets.push_back(make_target("w-" + std::to_string(index)));
        }
        scheduler.report("holder", report, now);
        // After this time the scheduler assumes that all lease holders have reported.
        now += duration_ms{1'500};
    }

    void submit(job_request job, const std::string& front_end = "front-end") {
        scheduler.submit(front_end, {.number = ++last_number, .job = std::move(job)}, now);
        place_and_collect();
    }

    void end(std::uint64_t key, run_end end) {
        scheduler.on_run_ended({.key = key, .end = end, .ran_for = duration_ms{60}}, now);
        place_and_collect();
    }

    void place_and_collect() {
        scheduler.place(now);
        auto effects = scheduler.take_effects();
        for (auto& item : effects.messages) {
            if (auto* const start = std::get_if<grant_run>(&item.message)) {
                starts.push_back(std::move(*start));
            } else if (auto* const stop = std::get_if<stop_run>(&item.message)) {
                stops.push_back(std::move(*stop));
            } else if (auto* const answer = std::get_if<job_ended>(&item.message)) {
                answers.push_back(std::move(*answer));
            }
        }
    }

    core::time_ms now = start_time;
    job_scheduler scheduler;
    std::uint64_t last_number = 0;
    std::vector<grant_run> starts;
    std::vector<stop_run> stops;
    std::vector<job_ended> answers;
};

struct result_case {
    std::string_view name;
    std::vector<run_end> ends; ///< Ends of the runs, in the order of their starts.
    job_result expected = job_result::completed;
    std::size_t starts = 1;
};

// Guards against a result before all tasks are done, against more attempts than allowed, and
// against counting ends that are not failures of the task.
TEST_CASE("the ends of its runs decide how a job ends") {
    const std::array cases{
        result_case{"done", {run_end::done}, job_result::completed, 1},
        result_case{"failed once", {run_end::failed, run_end::done}, job_result::completed, 2},
        result_case{"failed twice", {run_end::failed, run_end::failed}, job_result::failed, 2},
        result_case{"lease lapsed twice",
                    {run_end::lapsed, run_end::lapsed, run_end::done},
                    job_result::completed,
                    3},
        result_case{"rejected", {run_end::rejected, run_end::done}, job_result::completed, 2},
    };
    for (const auto& item : cases) {
        CAPTURE(item.name);
        scheduler_fixture fixture{4};
        fixture.submit(make_job("a", 1, duration_ms{60}));
        for (std::size_t index = 0; index < item.ends.size(); ++index) {
            REQUIRE(fixture.starts.size() == index + 1);
            CHECK(fixture.starts[index].run == index + 1);
            fixture.end(fixture.starts[index].key, item.ends[index]);
        }
        CHECK(fixture.starts.size() == item.starts);
        REQUIRE(fixture.answers.size() == 1);
        CHECK(fixture.answers[0].result == item.expected);
        CHECK(fixture.scheduler.idle());
    }
}

// Guards against exceeding the capacity of a target: two tasks of 27 cores fit on 64 cores, and a
// third one waits.
TEST_CASE("tasks wait for free resources and start when a run ends") {
    scheduler_fixture fixture{1};
    fixture.submit(make_job("a", 3, duration_ms{60}));
    REQUIRE(fixture.starts.size() == 2);
    fixture.end(fixture.starts[0].key, run_end::done);
    REQUIRE(fixture.starts.size() == 3);
}

// Guards against a job that waits until its deadline although it is known that it can't be served.
TEST_CASE("an infeasible job is refused at once") {
    struct refusal_case {
        std::string_view name;
        job_request job;
    };
    auto too_large = make_job("large", 1, duration_ms{60});
    too_large.steps[0].resources.cpu_millis = 65'000;
    auto unknown = make_job("unknown", 1, duration_ms{60});
    unknown.terms.service = "elsewhere";
    const std::array cases{
        refusal_case{"no target can hold it", too_large},
        refusal_case{"no target of the service", unknown},
        refusal_case{"longer than its deadline", make_job("long", 1, duration_ms{1'600})},
    };
    for (const auto& item : cases) {
        CAPTURE(item.name);
        scheduler_fixture fixture{2};
        fixture.submit(item.job);
        CHECK(fixture.starts.empty());
        REQUIRE(fixture.answers.size() == 1);
        CHECK(fixture.answers[0].result == job_result::refused);
        CHECK(fixture.answers[0].retry_after > duration_ms{0});
    }
}

// Guards against a queue that grows beyond what can be served, here in a burst of equal jobs.
TEST_CASE("a burst is refused on arrival once the expected wait makes the result useless") {
    scheduler_fixture fixture{1};
    for (int index = 0; index < 40; ++index) {
        fixture.submit(make_job("j" + std::to_string(index), 2, duration_ms{200}));
    }
    CHECK(fixture.answers.size() >= 20);
    CHECK(std::ranges::all_of(fixture.answers, [](const job_ended& answer) {
        return answer.result == job_result::refused;
    }));
}

// Guards against runs that continue for callers that have left.
TEST_CASE("a job without callers is stopped") {
    scheduler_fixture fixture{2};
    fixture.submit(make_job("a", 2, duration_ms{60}));
    REQUIRE(fixture.starts.size() == 2);
    SUBCASE("the caller leaves") {
        fixture.scheduler.cancel("front-end", {.number = 1}, fixture.now);
    }
    SUBCASE("the caller's entry host is lost") {
        fixture.scheduler.host_unreachable("front-end", fixture.now);
    }
    fixture.place_and_collect();
    CHECK(fixture.stops.size() == 2);
    CHECK_FALSE(fixture.scheduler.idle());
    fixture.end(fixture.starts[0].key, run_end::stopped);
    fixture.end(fixture.starts[1].key, run_end::stopped);
    CHECK(fixture.scheduler.idle());
    CHECK(fixture.starts.size() == 2);
}

// Guards against two runs of one task when a job is submitted again while it is in progress.
TEST_CASE("a second submission of a job gets the result of the first") {
    scheduler_fixture fixture{2};
    fixture.submit(make_job("a", 1, duration_ms{60}), "front-end-1");
    fixture.submit(make_job("a", 1, duration_ms{60}), "front-end-2");
    REQUIRE(fixture.starts.size() == 1);
    fixture.end(fixture.starts[0].key, run_end::done);
    CHECK(fixture.answers.size() == 2);
}

struct submission_input {
    std::uint64_t number = 0;
    std::uint64_t first_number = 0;
    bool is_cancel = false;
};

struct resubmission_case {
    std::string_view name;
    std::vector<submission_input> inputs;  ///< In the order of their arrival.
    std::size_t stops = 0;                 ///< Runs that are stopped because of the inputs.
    std::vector<std::uint64_t> answered{}; ///< Submissions that get the result.
};

// Guards against grants that go to a submission that the front end has given up, after its cancel
// was lost or overtaken, and against an answer to it or a second one to the same submission.
TEST_CASE("a submission replaces the earlier ones of the same request") {
    const std::array cases{
        resubmission_case{"the cancel is lost", {{1, 1}, {4, 1}}, 1, {4}},
        resubmission_case{"the cancel is late", {{1, 1}, {4, 1}, {1, 0, true}}, 1, {4}},
        resubmission_case{"two cancels are lost", {{1, 1}, {4, 1}, {6, 1}}, 2, {6}},
        resubmission_case{"the earlier one is late", {{4, 1}, {1, 1}}, 0, {4}},
        resubmission_case{"the same one arrives twice", {{4, 1}, {4, 1}}, 0, {4}},
        resubmission_case{"another request for the same job", {{1, 1}, {2, 2}}, 0, {1, 2}},
        resubmission_case{"another request moves", {{1, 1}, {2, 2}, {5, 2}}, 0, {1, 5}},
    };
    for (const auto& item : cases) {
        CAPTURE(item.name);
        scheduler_fixture fixture{2};
        for (const auto& input : item.inputs) {
            if (input.is_cancel) {
                fixture.scheduler.cancel("front-end", {.number = input.number}, fixture.now);
            } else {
                fixture.scheduler.submit("front-end",
                                         {.number = input.number,
                                          .first_number = input.first_number,
                                          .job = make_job("a", 1, duration_ms{60})},
                                         fixture.now);
            }
            fixture.place_and_collect();
        }
        REQUIRE(fixture.starts.size() == 1);
        CHECK(fixture.stops.size() == item.stops);
        if (item.stops > 0) {
            fixture.end(fixture.starts[0].key, run_end::rejected);
        }
        CHECK(fixture.starts.back().number == item.answered.front());
        fixture.end(fixture.starts.back().key, run_end::done);
        std::vector<std::uint64_t> answered;
        for (const auto& answer : fixture.answers) {
            CHECK(answer.result == job_result::completed);
            answered.push_back(answer.number);
        }
        CHECK(answered == item.answered);
        CHECK(fixture.scheduler.idle());
    }
}

// Guards against a grant that is lost with one of two callers of the same job: its run would never
// start, and its resources would stay reserved.
TEST_CASE("a job whose first caller leaves continues for the second one") {
    scheduler_fixture fixture{2};
    fixture.submit(make_job("a", 1, duration_ms{60}), "front-end-1");
    fixture.submit(make_job("a", 1, duration_ms{60}), "front-end-2");
    fixture.scheduler.cancel("front-end-1", {.number = 1}, fixture.now);
    fixture.place_and_collect();
    REQUIRE(fixture.stops.size() == 1);
    fixture.end(fixture.stops[0].key, run_end::rejected);
    REQUIRE(fixture.starts.size() == 2);
    CHECK(fixture.starts[1].number == 2);
    fixture.end(fixture.starts[1].key, run_end::done);
    REQUIRE(fixture.answers.size() == 1);
    CHECK(fixture.answers[0].result == job_result::completed);
}

// Guards against jobs that wait for a run on a stuck target, or for a run whose start message was
// lost.
TEST_CASE("an overdue run is stopped and its task starts elsewhere") {
    scheduler_fixture fixture{2};
    fixture.submit(make_job("a", 1, duration_ms{60}));
    REQUIRE(fixture.starts.size() == 1);
    fixture.now += duration_ms{500};
    fixture.place_and_collect();
    CHECK(fixture.stops.empty());
    fixture.now += duration_ms{500};
    fixture.place_and_collect();
    REQUIRE(fixture.stops.size() == 1);
    fixture.end(fixture.starts[0].key, run_end::stopped);
    REQUIRE(fixture.starts.size() == 2);
    CHECK(fixture.starts[1].target != fixture.starts[0].target);
    CHECK(fixture.starts[1].run == 2);
}

// Guards against jobs that are started and then wait for later ones with an earlier objective.
TEST_CASE("started jobs come before waiting ones, and late ones last") {
    scheduler_fixture fixture{1};
    fixture.submit(make_job("started", 3, duration_ms{400}));
    auto late = make_job("late", 1, duration_ms{400});
    late.terms.stretch = 0.5;
    late.terms.deadline = duration_ms{10'000};
    fixture.submit(late);
    fixture.submit(make_job("in time", 1, duration_ms{60}));
    REQUIRE(fixture.starts.size() == 2);
    std::vector<std::uint64_t> order;
    for (std::size_t index = 0; index < 3; ++index) {
        fixture.end(fixture.starts[index].key, run_end::done);
        order.push_back(fixture.starts.back().number);
    }
    CHECK(order == std::vector<std::uint64_t>{1, 3, 2});
}

// Guards against starting a task again while its run may still execute on a target whose lease
// holder cannot be reached.
TEST_CASE("a job with a run on an unreachable lease holder is lost") {
    scheduler_fixture fixture{2};
    fixture.submit(make_job("a", 1, duration_ms{60}));
    fixture.scheduler.host_unreachable("holder", fixture.now);
    fixture.place_and_collect();
    REQUIRE(fixture.answers.size() == 1);
    CHECK(fixture.answers[0].result == job_result::lost);
    CHECK(fixture.starts.size() == 1);
}

// Guards against a task that starts before the steps that it depends on.
TEST_CASE("a step starts after the steps that it depends on") {
    scheduler_fixture fixture{4};
    auto job = make_job("a", 2, duration_ms{60});
    job.steps.push_back(job.steps[0]);
    job.steps[1].after = {0};
    fixture.submit(job);
    REQUIRE(fixture.starts.size() == 2);
    fixture.end(fixture.starts[0].key, run_end::done);
    CHECK(fixture.starts.size() == 2);
    fixture.end(fixture.starts[1].key, run_end::done);
    CHECK(fixture.starts.size() == 4);
}

// Guards against a target that fails every run and so gets a new task after each round trip.
TEST_CASE("a target that keeps failing is ejected for a while") {
    scheduler_fixture fixture{4};
    std::string failing;
    std::size_t failures = 0;
    for (int index = 0; index < 40; ++index) {
        fixture.submit(make_job("j" + std::to_string(index), 1, duration_ms{60}));
        const auto start = fixture.starts.back();
        failing = failing.empty() ? start.target : failing;
        const bool fails = start.target == failing;
        failures += fails ? 1 : 0;
        fixture.end(start.key, fails ? run_end::failed : run_end::done);
        if (fails) {
            fixture.end(fixture.starts.back().key, run_end::done);
        }
    }
    CHECK(failures <= 4);
}

// Guards against a started job whose grants are never used and that reserves resources for ever.
TEST_CASE("a started job is lost 5 s after its result has become useless") {
    scheduler_fixture fixture{2};
    fixture.submit(make_job("a", 1, duration_ms{60}));
    for (int round = 0; round < 200 && !fixture.scheduler.idle(); ++round) {
        fixture.now += duration_ms{200};
        fixture.place_and_collect();
        if (!fixture.stops.empty()) {
            const auto key = fixture.stops.back().key;
            fixture.stops.clear();
            fixture.end(key, run_end::rejected);
        }
        fixture.scheduler.report("holder", {.targets = {make_target("w-0")}}, fixture.now);
    }
    CHECK(fixture.scheduler.idle());
    CHECK(fixture.now < start_time + duration_ms{20'000});
    REQUIRE(fixture.answers.size() == 1);
    CHECK(fixture.answers[0].result == job_result::lost);
}

// Guards against serving all jobs late where half of them can be in time. This happens in a burst
// beyond the capacity, when every job starts at the last moment and ends late.
TEST_CASE("under overload the jobs that start still end in time") {
    scheduler_fixture fixture{2};
    struct running_task {
        std::uint64_t key = 0;
        std::uint64_t job = 0;
        core::time_ms end{};
    };
    std::vector<running_task> running;
    std::map<std::uint64_t, core::time_ms> arrived;
    std::size_t granted = 0;
    int in_time = 0;
    int late = 0;
    for (int step = 0; step < 1'000; ++step) {
        fixture.now += duration_ms{5};
        // Four tasks of 100 ms fit at once, and six arrive in that time.
        if (step % 3 == 0) {
            fixture.submit(make_job("j" + std::to_string(step), 1, duration_ms{100}));
            arrived[fixture.last_number] = fixture.now;
        }
        const auto due =
            std::stable_partition(running.begin(), running.end(),
                                  [&](const running_task& task) { return task.end > fixture.now; });
        const std::vector<running_task> ended{due, running.end()};
        running.erase(due, running.end());
        for (const auto& task : ended) {
            const bool is_in_time = fixture.now - arrived.at(task.job) <= duration_ms{220};
            ++(is_in_time ? in_time : late);
            fixture.end(task.key, run_end::done);
        }
        fixture.place_and_collect();
        for (; granted < fixture.starts.size(); ++granted) {
            const auto& start = fixture.starts[granted];
            running.push_back({start.key, start.number, fixture.now + duration_ms{120}});
        }
    }
    // The capacity suffices for 166 runs of 120 ms; nearly all of it must go to jobs in time.
    CHECK(in_time >= 140);
    CHECK(late <= 15);
}

struct overload_case {
    std::string_view name;
    int arrivals;                ///< Jobs of 200 ms, each 10 ms after the one before it.
    duration_ms max_refusal_age; ///< Age at which a refusal is due at the latest.
    std::size_t refusals;        ///< Refusals once all jobs have had the time to become infeasible.
};

// Guards against jobs that wait until their result is useless although it is known earlier that
// they cannot be served, when arrivals exceed the capacity. The objective is 380 ms; a job that has
// not started after 105 ms is late.
TEST_CASE("a late job is refused at once when arrivals take all the capacity") {
    constexpr std::array cases{
        overload_case{"capacity for all", 4, duration_ms{0}, 0},
        overload_case{"arrivals beyond the capacity", 60, duration_ms{110}, 56},
    };
    for (const auto& item : cases) {
        CAPTURE(item.name);
        scheduler_fixture fixture{2};
        std::map<std::uint64_t, core::time_ms> arrived;
        duration_ms longest{};
        std::size_t seen = 0;
        for (int step = 0; step < 200; ++step) {
            fixture.now += duration_ms{10};
            if (step < item.arrivals) {
                fixture.submit(make_job("j" + std::to_string(step), 1, duration_ms{200}));
                arrived[fixture.last_number] = fixture.now;
            }
            fixture.place_and_collect();
            for (; seen < fixture.answers.size(); ++seen) {
                longest = std::max(longest, fixture.now - arrived.at(fixture.answers[seen].number));
            }
        }
        CHECK(longest <= item.max_refusal_age);
        CHECK(fixture.answers.size() == item.refusals);
    }
}

// Guards against a result that takes more than three times the objective and is useless.
TEST_CASE("a job whose result would be useless is refused") {
    scheduler_fixture fixture{1};
    auto patient = make_job("patient", 1, duration_ms{200});
    patient.terms.deadline = duration_ms{60'000};
    fixture.submit(make_job("a", 2, duration_ms{200}));
    fixture.submit(patient);
    CHECK(fixture.answers.empty());
    fixture.now += duration_ms{1'000};
    fixture.place_and_collect();
    REQUIRE(fixture.answers.size() == 1);
    CHECK(fixture.answers[0].result == job_result::refused);
}

// Guards against starts and refusals based on stale state. It comes about when a scheduler was
// suspended, other hosts scheduled meanwhile, and it starts to schedule again.
TEST_CASE("a scheduler that starts again waits for reports of the lease holders") {
    scheduler_fixture fixture{2};
    fixture.scheduler.start_scheduling();
    fixture.submit(make_job("a", 1, duration_ms{60}));
    CHECK(fixture.starts.empty());
    CHECK(fixture.answers.empty());
    fixture.scheduler.report("holder", {.targets = {make_target("w-0")}}, fixture.now);
    fixture.place_and_collect();
    CHECK(fixture.starts.size() == 1);
}

// Guards against refusals based on reports from an earlier time as the scheduler. It comes about
// when a host schedules briefly after its start, learns of the current scheduler, and then gets
// jobs from a host that already knows that this scheduler is leaving.
TEST_CASE("a host that no longer schedules refuses nothing for lack of capacity") {
    scheduler_fixture fixture{0};
    fixture.scheduler.stop_scheduling();
    fixture.submit(make_job("a", 1, duration_ms{60}));
    CHECK(fixture.answers.empty());
    fixture.scheduler.start_scheduling();
    fixture.scheduler.report("holder", {.targets = {make_target("w-0")}}, fixture.now);
    fixture.place_and_collect();
    CHECK(fixture.answers.empty());
    CHECK(fixture.starts.size() == 1);
}

// Guards against refusals by a scheduler that has just started and does not know the targets yet.
TEST_CASE("a new scheduler keeps jobs until the lease holders have reported") {
    job_scheduler scheduler;
    auto now = start_time;
    scheduler.submit("front-end", {.number = 1, .job = make_job("a", 1, duration_ms{60})}, now);
    scheduler.place(now);
    CHECK(scheduler.take_effects().messages.empty());
    now += duration_ms{300};
    scheduler.report("holder", {.targets = {make_target("w-0")}}, now);
    scheduler.place(now);
    const auto effects = scheduler.take_effects();
    REQUIRE(effects.messages.size() == 1);
    CHECK(std::holds_alternative<grant_run>(effects.messages[0].message));
}

// Guards against refusing a late job for lack of capacity before any lease holder has reported. It
// comes about when an entry host that has just started schedules by itself until it learns of the
// others. The job is late after 36 ms.
TEST_CASE("a new scheduler refuses no late job before the lease holders have reported") {
    job_scheduler scheduler;
    auto now = start_time;
    scheduler.submit("front-end", {.number = 1, .job = make_job("a", 1, duration_ms{60})}, now);
    for (int step = 0; step < 10; ++step) {
        now += duration_ms{10};
        scheduler.place(now);
        CHECK(scheduler.take_effects().messages.empty());
    }
    scheduler.report("holder", {.targets = {make_target("w-0")}}, now);
    scheduler.place(now);
    const auto effects = scheduler.take_effects();
    REQUIRE(effects.messages.size() == 1);
    CHECK(std::holds_alternative<grant_run>(effects.messages[0].message));
}

} // namespace
} // namespace hawthornstall::runs
