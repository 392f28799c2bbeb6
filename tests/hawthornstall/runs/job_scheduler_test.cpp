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
constexpr core::room one_task{.cpu_millis = 27'000, .memory_mb = 64};

job_request make_job(const std::string& id, std::uint32_t tasks, duration_ms run_time) {
    job_step step;
    step.count = tasks;
    step.room = one_task;
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

/// A scheduler whose messages are sorted by kind.
class scheduler_bench {
public:
    explicit scheduler_bench(int targets) {
        scheduler.start_scheduling();
        target_report report;
        for (int index = 0; index < targets; ++index) {
            report.targets.push_back(make_target("w-" + std::to_string(index)));
        }
        scheduler.report("holder", report, now);
        // By then all holders are known to have reported.
        now += duration_ms{1'500};
    }

    void submit(job_request job, const std::string& home = "home") {
        scheduler.submit(home, {.number = ++last_number, .job = std::move(job)}, now);
        settle();
    }

    void end(std::uint64_t key, run_end end) {
        scheduler.on_run_ended({.key = key, .end = end, .ran_for = duration_ms{60}}, now);
        settle();
    }

    void settle() {
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
    std::vector<run_end> ends; ///< Of the runs in the order of their starts.
    job_result expected = job_result::completed;
    std::size_t starts = 1;
};

// Guards against a partial answer, a retry beyond the limit, and a failure that is counted although
// the task is not to blame.
TEST_CASE("the ends of its runs decide how a job ends") {
    const std::array cases{
        result_case{"done", {run_end::done}, job_result::completed, 1},
        result_case{"failed once", {run_end::failed, run_end::done}, job_result::completed, 2},
        result_case{"failed twice", {run_end::failed, run_end::failed}, job_result::failed, 2},
        result_case{"lease ended twice",
                    {run_end::lapsed, run_end::lapsed, run_end::done},
                    job_result::completed,
                    3},
        result_case{"rejected", {run_end::rejected, run_end::done}, job_result::completed, 2},
    };
    for (const auto& item : cases) {
        CAPTURE(item.name);
        scheduler_bench bench{4};
        bench.submit(make_job("a", 1, duration_ms{60}));
        for (std::size_t index = 0; index < item.ends.size(); ++index) {
            REQUIRE(bench.starts.size() == index + 1);
            CHECK(bench.starts[index].run == index + 1);
            bench.end(bench.starts[index].key, item.ends[index]);
        }
        CHECK(bench.starts.size() == item.starts);
        REQUIRE(bench.answers.size() == 1);
        CHECK(bench.answers[0].result == item.expected);
        CHECK(bench.scheduler.idle());
    }
}

// Guards against overfilled targets: two tasks of 27 cores fit on 64, a third one waits.
TEST_CASE("tasks wait for room and start when it becomes free") {
    scheduler_bench bench{1};
    bench.submit(make_job("a", 3, duration_ms{60}));
    REQUIRE(bench.starts.size() == 2);
    bench.end(bench.starts[0].key, run_end::done);
    REQUIRE(bench.starts.size() == 3);
}

// Guards against a job that waits until its deadline although it is clear that it can't be served.
TEST_CASE("a hopeless job is refused at once") {
    struct refusal_case {
        std::string_view name;
        job_request job;
    };
    auto too_large = make_job("large", 1, duration_ms{60});
    too_large.steps[0].room.cpu_millis = 65'000;
    auto unknown = make_job("unknown", 1, duration_ms{60});
    unknown.terms.service = "elsewhere";
    const std::array cases{
        refusal_case{"no target can hold it", too_large},
        refusal_case{"no target of the service", unknown},
        refusal_case{"longer than its deadline", make_job("long", 1, duration_ms{1'600})},
    };
    for (const auto& item : cases) {
        CAPTURE(item.name);
        scheduler_bench bench{2};
        bench.submit(item.job);
        CHECK(bench.starts.empty());
        REQUIRE(bench.answers.size() == 1);
        CHECK(bench.answers[0].result == job_result::refused);
        CHECK(bench.answers[0].retry_after > duration_ms{0});
    }
}

// Guards against a queue that grows beyond what can be served: pattern of a burst of one kind.
TEST_CASE("a burst is refused on arrival once the queue is longer than the deadline") {
    scheduler_bench bench{1};
    for (int index = 0; index < 40; ++index) {
        bench.submit(make_job("j" + std::to_string(index), 2, duration_ms{200}));
    }
    CHECK(bench.answers.size() >= 20);
    CHECK(std::ranges::all_of(bench.answers, [](const job_ended& answer) {
        return answer.result == job_result::refused;
    }));
}

// Guards against work that goes on for callers that have left.
TEST_CASE("a job without callers is stopped") {
    scheduler_bench bench{2};
    bench.submit(make_job("a", 2, duration_ms{60}));
    REQUIRE(bench.starts.size() == 2);
    SUBCASE("the caller leaves") {
        bench.scheduler.cancel("home", {.number = 1}, bench.now);
    }
    SUBCASE("the caller's entry host is lost") {
        bench.scheduler.host_unreachable("home", bench.now);
    }
    bench.settle();
    CHECK(bench.stops.size() == 2);
    CHECK_FALSE(bench.scheduler.idle());
    bench.end(bench.starts[0].key, run_end::stopped);
    bench.end(bench.starts[1].key, run_end::stopped);
    CHECK(bench.scheduler.idle());
    CHECK(bench.starts.size() == 2);
}

// Guards against two runs of one task when a job is submitted again while it is under way.
TEST_CASE("a second submission joins the first") {
    scheduler_bench bench{2};
    bench.submit(make_job("a", 1, duration_ms{60}), "home-1");
    bench.submit(make_job("a", 1, duration_ms{60}), "home-2");
    REQUIRE(bench.starts.size() == 1);
    bench.end(bench.starts[0].key, run_end::done);
    CHECK(bench.answers.size() == 2);
}

// Guards against a grant that is lost with one of two callers of the same job: its run would never
// start, and its room would stay taken.
TEST_CASE("a job whose first caller leaves goes on for the second one") {
    scheduler_bench bench{2};
    bench.submit(make_job("a", 1, duration_ms{60}), "home-1");
    bench.submit(make_job("a", 1, duration_ms{60}), "home-2");
    bench.scheduler.cancel("home-1", {.number = 1}, bench.now);
    bench.settle();
    REQUIRE(bench.stops.size() == 1);
    bench.end(bench.stops[0].key, run_end::rejected);
    REQUIRE(bench.starts.size() == 2);
    CHECK(bench.starts[1].number == 2);
    bench.end(bench.starts[1].key, run_end::done);
    REQUIRE(bench.answers.size() == 1);
    CHECK(bench.answers[0].result == job_result::completed);
}

// Guards against jobs that wait for a target on which everything stands still, and for an order
// that was lost on its way.
TEST_CASE("an overdue run is stopped and starts elsewhere") {
    scheduler_bench bench{2};
    bench.submit(make_job("a", 1, duration_ms{60}));
    REQUIRE(bench.starts.size() == 1);
    bench.now += duration_ms{500};
    bench.settle();
    CHECK(bench.stops.empty());
    bench.now += duration_ms{500};
    bench.settle();
    REQUIRE(bench.stops.size() == 1);
    bench.end(bench.starts[0].key, run_end::stopped);
    REQUIRE(bench.starts.size() == 2);
    CHECK(bench.starts[1].target != bench.starts[0].target);
    CHECK(bench.starts[1].run == 2);
}

// Guards against jobs that are begun and then wait for later ones with an earlier objective.
TEST_CASE("begun jobs come before waiting ones, and late ones last") {
    scheduler_bench bench{1};
    bench.submit(make_job("begun", 3, duration_ms{400}));
    auto late = make_job("late", 1, duration_ms{400});
    late.terms.stretch = 0.5;
    late.terms.deadline = duration_ms{10'000};
    bench.submit(late);
    bench.submit(make_job("in time", 1, duration_ms{60}));
    REQUIRE(bench.starts.size() == 2);
    std::vector<std::uint64_t> order;
    for (std::size_t index = 0; index < 3; ++index) {
        bench.end(bench.starts[index].key, run_end::done);
        order.push_back(bench.starts.back().number);
    }
    CHECK(order == std::vector<std::uint64_t>{1, 3, 2});
}

// Guards against a restart beside runs on the targets of a host that cannot be reached.
TEST_CASE("a job with runs on a lost holder is given up") {
    scheduler_bench bench{2};
    bench.submit(make_job("a", 1, duration_ms{60}));
    bench.scheduler.host_unreachable("holder", bench.now);
    bench.settle();
    REQUIRE(bench.answers.size() == 1);
    CHECK(bench.answers[0].result == job_result::lost);
    CHECK(bench.starts.size() == 1);
}

// Guards against a task that starts before the steps that it needs.
TEST_CASE("a step starts after the steps that it names") {
    scheduler_bench bench{4};
    auto job = make_job("a", 2, duration_ms{60});
    job.steps.push_back(job.steps[0]);
    job.steps[1].after = {0};
    bench.submit(job);
    REQUIRE(bench.starts.size() == 2);
    bench.end(bench.starts[0].key, run_end::done);
    CHECK(bench.starts.size() == 2);
    bench.end(bench.starts[1].key, run_end::done);
    CHECK(bench.starts.size() == 4);
}

// Guards against a target that fails everything and takes a task per round trip.
TEST_CASE("a target that keeps failing gets no tasks for a while") {
    scheduler_bench bench{4};
    std::string failing;
    std::size_t failures = 0;
    for (int index = 0; index < 40; ++index) {
        bench.submit(make_job("j" + std::to_string(index), 1, duration_ms{60}));
        const auto start = bench.starts.back();
        failing = failing.empty() ? start.target : failing;
        const bool fails = start.target == failing;
        failures += fails ? 1 : 0;
        bench.end(start.key, fails ? run_end::failed : run_end::done);
        if (fails) {
            bench.end(bench.starts.back().key, run_end::done);
        }
    }
    CHECK(failures <= 4);
}

// Guards against a begun job whose grants are never used and that takes room for ever.
TEST_CASE("a begun job ends long after its deadline") {
    scheduler_bench bench{2};
    bench.submit(make_job("a", 1, duration_ms{60}));
    for (int round = 0; round < 200 && !bench.scheduler.idle(); ++round) {
        bench.now += duration_ms{200};
        bench.settle();
        if (!bench.stops.empty()) {
            const auto key = bench.stops.back().key;
            bench.stops.clear();
            bench.end(key, run_end::rejected);
        }
        bench.scheduler.report("holder", {.targets = {make_target("w-0")}}, bench.now);
    }
    CHECK(bench.scheduler.idle());
    CHECK(bench.now < start_time + duration_ms{20'000});
    REQUIRE(bench.answers.size() == 1);
    CHECK(bench.answers[0].result == job_result::lost);
}

// Pattern: a burst beyond the room, in which every job starts at the last moment and ends late.
// Guards against serving all jobs late where half of them can be in time.
TEST_CASE("under overload the jobs that start still end in time") {
    scheduler_bench bench{2};
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
        bench.now += duration_ms{5};
        // Four tasks of 100 ms fit at once, and six arrive in that time.
        if (step % 3 == 0) {
            bench.submit(make_job("j" + std::to_string(step), 1, duration_ms{100}));
            arrived[bench.last_number] = bench.now;
        }
        const auto due =
            std::stable_partition(running.begin(), running.end(),
                                  [&](const running_task& task) { return task.end > bench.now; });
        const std::vector<running_task> ended{due, running.end()};
        running.erase(due, running.end());
        for (const auto& task : ended) {
            const bool is_in_time = bench.now - arrived.at(task.job) <= duration_ms{220};
            ++(is_in_time ? in_time : late);
            bench.end(task.key, run_end::done);
        }
        bench.settle();
        for (; granted < bench.starts.size(); ++granted) {
            const auto& start = bench.starts[granted];
            running.push_back({start.key, start.number, bench.now + duration_ms{120}});
        }
    }
    // Room for 166 runs of 120 ms; nearly all of it must go to jobs in time.
    CHECK(in_time >= 140);
    CHECK(late <= 15);
}

struct overload_case {
    std::string_view name;
    int arrivals;         ///< Jobs of 200 ms, each 10 ms after the one before it.
    duration_ms refused;  ///< Age at which a refusal is due at the latest.
    std::size_t answered; ///< Refusals after all jobs have had the time to become hopeless.
};

// Pattern: arrivals beyond the room. Guards against jobs that wait until nobody wants their answer
// although it is clear earlier that they cannot be served. The objective is 380 ms; a job that has
// not started after 105 ms is late.
TEST_CASE("a late job is refused at once when arrivals take all the room") {
    constexpr std::array cases{
        overload_case{"room for all", 4, duration_ms{0}, 0},
        overload_case{"arrivals beyond the room", 60, duration_ms{110}, 56},
    };
    for (const auto& item : cases) {
        CAPTURE(item.name);
        scheduler_bench bench{2};
        std::map<std::uint64_t, core::time_ms> arrived;
        duration_ms longest{};
        std::size_t seen = 0;
        for (int step = 0; step < 200; ++step) {
            bench.now += duration_ms{10};
            if (step < item.arrivals) {
                bench.submit(make_job("j" + std::to_string(step), 1, duration_ms{200}));
                arrived[bench.last_number] = bench.now;
            }
            bench.settle();
            for (; seen < bench.answers.size(); ++seen) {
                longest = std::max(longest, bench.now - arrived.at(bench.answers[seen].number));
            }
        }
        CHECK(longest <= item.refused);
        CHECK(bench.answers.size() == item.answered);
    }
}

// Guards against an answer that takes more than three times the objective and is of no use.
TEST_CASE("a job that can only be answered far too late is refused") {
    scheduler_bench bench{1};
    auto patient = make_job("patient", 1, duration_ms{200});
    patient.terms.deadline = duration_ms{60'000};
    bench.submit(make_job("a", 2, duration_ms{200}));
    bench.submit(patient);
    CHECK(bench.answers.empty());
    bench.now += duration_ms{1'000};
    bench.settle();
    REQUIRE(bench.answers.size() == 1);
    CHECK(bench.answers[0].result == job_result::refused);
}

// Pattern: a scheduler was frozen, others scheduled meanwhile, and it begins again. Guards against
// starts and refusals that rest on what it knew before.
TEST_CASE("a scheduler that begins again waits for the holders' reports") {
    scheduler_bench bench{2};
    bench.scheduler.start_scheduling();
    bench.submit(make_job("a", 1, duration_ms{60}));
    CHECK(bench.starts.empty());
    CHECK(bench.answers.empty());
    bench.scheduler.report("holder", {.targets = {make_target("w-0")}}, bench.now);
    bench.settle();
    CHECK(bench.starts.size() == 1);
}

// Pattern: a host has scheduled for a moment while it started, hears of the scheduler that serves,
// and gets the jobs of a host that already knows that the latter is leaving. Guards against
// refusals that rest on reports to the earlier role.
TEST_CASE("a host that no longer schedules refuses nothing for want of room") {
    scheduler_bench bench{0};
    bench.scheduler.stop_scheduling();
    bench.submit(make_job("a", 1, duration_ms{60}));
    CHECK(bench.answers.empty());
    bench.scheduler.start_scheduling();
    bench.scheduler.report("holder", {.targets = {make_target("w-0")}}, bench.now);
    bench.settle();
    CHECK(bench.answers.empty());
    CHECK(bench.starts.size() == 1);
}

// Guards against refusals by a scheduler that has just started and has not heard of the targets.
TEST_CASE("a new scheduler keeps jobs until the holders have reported") {
    job_scheduler scheduler;
    auto now = start_time;
    scheduler.submit("home", {.number = 1, .job = make_job("a", 1, duration_ms{60})}, now);
    scheduler.place(now);
    CHECK(scheduler.take_effects().messages.empty());
    now += duration_ms{300};
    scheduler.report("holder", {.targets = {make_target("w-0")}}, now);
    scheduler.place(now);
    const auto effects = scheduler.take_effects();
    REQUIRE(effects.messages.size() == 1);
    CHECK(std::holds_alternative<grant_run>(effects.messages[0].message));
}

// Pattern: an entry host that has just started schedules for itself until it hears of the others.
// Guards against refusing a late job for want of room before any holder has reported. The job is
// late after 36 ms.
TEST_CASE("a new scheduler refuses no late job before the holders have reported") {
    job_scheduler scheduler;
    auto now = start_time;
    scheduler.submit("home", {.number = 1, .job = make_job("a", 1, duration_ms{60})}, now);
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
