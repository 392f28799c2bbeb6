#include "hawthornstall/entry/zone_harness.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <string>
#include <string_view>

namespace hawthornstall::entry {
namespace {

using core::outcome_class;
using testing::zone_harness;

core::service_document make_document() {
    core::service_document document;
    document.service = "restock";
    document.team = "restock-team";
    document.version = 1;
    document.task.expected_run_time = zone_harness::run_time;
    return document;
}

core::job_request make_job(std::size_t task_count, bool idempotent, std::string_view name) {
    core::job_request job;
    job.service = "restock";
    job.caller = "van-7";
    job.idempotent = idempotent;
    job.deadline = core::duration_ms{5000};
    for (std::size_t task = 0; task < task_count; ++task) {
        job.tasks.push_back({std::string{name} + '-' + std::to_string(task), {}});
    }
    return job;
}

/// Three hosts and four targets of four slots, after ownership has been taken.
zone_harness make_zone(const core::service_document& document = make_document()) {
    zone_harness zone{3, document};
    for (const auto* const name : {"t1", "t2", "t3", "t4"}) {
        zone.add_target(name, 4);
    }
    zone.run_for(core::duration_ms{4000});
    return zone;
}

std::string other_host(const std::string& host) {
    return host == "h1" ? "h2" : "h1";
}

// Guards against an entry host through which callers get no answer, and against hosts that disagree
// about the owner.
TEST_CASE("jobs are answered completely through every host") {
    auto zone = make_zone();
    REQUIRE_FALSE(zone.owner("h1").empty());
    for (const auto* const host : {"h1", "h2", "h3"}) {
        zone.call(host, make_job(20, false, host));
        zone.call(host, make_job(1, true, host));
    }
    zone.run_for(core::duration_ms{3000});
    for (const auto& call : zone.calls()) {
        REQUIRE(call.answers.size() == 1);
        CHECK(call.answers.front().outcome == outcome_class::answered);
    }
    CHECK(testing::violations(zone.starts(), zone.calls()).empty());
}

// Guards against a resubmission, during the job or after it, that starts tasks again or gets
// another answer.
TEST_CASE("a resubmission through any host gets the first answer and starts nothing") {
    for (const core::duration_ms wait :
         {core::duration_ms{0}, core::duration_ms{50}, core::duration_ms{2000}}) {
        CAPTURE(wait.count());
        auto zone = make_zone();
        auto job = make_job(30, false, "job");
        job.id = zone.make_id("h1", "order-1");
        zone.call("h1", job);
        zone.run_for(wait);
        zone.call("h2", job);
        zone.call("h3", job);
        zone.run_for(core::duration_ms{3000});
        CHECK(zone.starts().size() == 30);
        for (const auto& call : zone.calls()) {
            REQUIRE(call.answers.size() == 1);
            CHECK(call.answers.front().outcome == outcome_class::answered);
        }
        CHECK(testing::violations(zone.starts(), zone.calls()).empty());
    }
}

/// The jobs of a host's callers before and after a restart of the host.
struct restart_case {
    std::string_view name;
    std::size_t tasks_before;
    std::size_t tasks_after;
};

// Guards against a caller that gets the answer to a job of another caller: the owner still runs a
// job that an earlier process of the caller's host has forwarded, and answers the present process.
TEST_CASE("the answer to a job of an earlier process reaches no caller") {
    const std::array cases{
        restart_case{"both jobs have as many tasks", 200, 200},
        restart_case{"the later job has more tasks", 190, 200},
    };
    for (const auto& item : cases) {
        CAPTURE(item.name);
        auto zone = make_zone();
        const auto host = other_host(zone.owner("h1"));
        const auto earlier = zone.call(host, make_job(item.tasks_before, false, "earlier"));
        zone.run_for(core::duration_ms{50});
        zone.kill(host);
        zone.restart(host);
        zone.run_for(core::duration_ms{50});
        const auto later = zone.call(host, make_job(item.tasks_after, false, "later"));
        zone.run_for(core::duration_ms{8000});
        CHECK(zone.calls()[earlier].answers.empty());
        REQUIRE(zone.calls()[later].answers.size() == 1);
        const auto& answer = zone.calls()[later].answers.front();
        CHECK(answer.outcome == outcome_class::answered);
        CHECK(answer.results.size() == item.tasks_after);
        CHECK((!answer.results.empty() && answer.results.front() == "echo of later-0"));
    }
}

/// A fault that is injected while a job runs, and its repair.
struct fault_case {
    std::string_view name;
    void (*inject)(zone_harness&, const std::string& owner);
    void (*repair)(zone_harness&, const std::string& owner);
};

constexpr auto nothing = [](zone_harness& /*zone*/, const std::string& /*owner*/) {
};

const std::array fault_cases{
    fault_case{"owner killed", [](auto& zone, const auto& owner) { zone.kill(owner); },
               [](auto& zone, const auto& owner) {
                   zone.restart(owner);
               }},
    fault_case{"owner paused", [](auto& zone, const auto& owner) { zone.pause(owner); },
               [](auto& zone, const auto& owner) {
                   zone.resume(owner);
               }},
    fault_case{"owner partitioned",
               [](auto& zone, const auto& owner) { zone.partition(owner, true); },
               [](auto& zone, const auto& owner) {
                   zone.partition(owner, false);
               }},
    fault_case{"other host killed",
               [](auto& zone, const auto& owner) { zone.kill(owner == "h3" ? "h2" : "h3"); },
               [](auto& zone, const auto& owner) {
                   zone.restart(owner == "h3" ? "h2" : "h3");
               }},
    fault_case{"target killed",
               [](auto& zone, const auto& /*owner*/) {
                   zone.set_behaviour("t1", testing::target_behaviour::dead);
               },
               nothing},
    fault_case{"target fails every task",
               [](auto& zone, const auto& /*owner*/) {
                   zone.set_behaviour("t2", testing::target_behaviour::failing);
               },
               [](auto& zone, const auto& /*owner*/) {
                   zone.set_behaviour("t2", testing::target_behaviour::normal);
               }},
    fault_case{"owner shut down", [](auto& zone, const auto& owner) { zone.shut_down(owner); },
               nothing},
};

/// Submits jobs through a host other than the owner, injects both faults while they run, and
/// resubmits the job once during the faults and once after their repair.
void check_faults(const fault_case& first, const fault_case& second, core::duration_ms gap) {
    auto zone = make_zone();
    const auto owner = zone.owner("h1");
    const auto entry = other_host(owner);
    auto job = make_job(60, false, "submission");
    job.id = zone.make_id(entry, "order-1");
    zone.call(entry, job);
    for (int number = 0; number < 10; ++number) {
        zone.call(entry, make_job(1, true, "read" + std::to_string(number)));
    }
    zone.run_for(core::duration_ms{120});
    first.inject(zone, owner);
    zone.run_for(gap);
    second.inject(zone, owner);
    zone.run_for(core::duration_ms{3000});
    zone.call(entry, job);
    zone.run_for(core::duration_ms{4000});
    second.repair(zone, owner);
    first.repair(zone, owner);
    zone.run_for(core::duration_ms{4000});
    zone.call(entry, job);
    zone.call(entry, make_job(5, false, "afterwards"));
    zone.run_for(core::duration_ms{8000});
    const auto found = testing::violations(zone.starts(), zone.calls());
    for (const auto& violation : found) {
        MESSAGE(violation);
    }
    CHECK(found.empty());
    CHECK(zone.calls().back().answers.front().outcome == outcome_class::answered);
}

// Guards against missing, duplicate, partial or wrong answers after any single fault.
TEST_CASE("each call gets exactly one correct answer after a fault") {
    for (const auto& fault : fault_cases) {
        CAPTURE(fault.name);
        check_faults(fault, {"nothing", nothing, nothing}, core::duration_ms{10});
    }
}

// Guards against faults that are handled one at a time but not in combination, 10 ms or 2.2 s
// apart.
TEST_CASE("each call gets exactly one correct answer after two faults") {
    for (const auto& first : fault_cases) {
        for (const auto& second : fault_cases) {
            for (const core::duration_ms gap : {core::duration_ms{10}, core::duration_ms{2200}}) {
                CAPTURE(first.name);
                CAPTURE(second.name);
                CAPTURE(gap.count());
                check_faults(first, second, gap);
            }
        }
    }
}

/// A fault that isolates the owner from the other hosts while a caller still reaches it, so that
/// another host takes over.
struct isolation_case {
    std::string_view name;
    void (*isolate)(zone_harness&, const std::string& owner);
    void (*restore)(zone_harness&, const std::string& owner);
};

const std::array isolation_cases{
    isolation_case{"partitioned",
                   [](auto& zone, const auto& owner) { zone.partition(owner, true); },
                   [](auto& zone, const auto& owner) {
                       zone.partition(owner, false);
                   }},
    isolation_case{"paused", [](auto& zone, const auto& owner) { zone.pause(owner); },
                   [](auto& zone, const auto& owner) {
                       zone.resume(owner);
                   }},
};

// Guards against a superseded owner that starts tasks although another host has taken over, or that
// reports a job as not run although the new owner has started it.
TEST_CASE("an isolated owner starts no task and refuses no job that the new owner runs") {
    for (const auto& isolation : isolation_cases) {
        for (const std::uint32_t queue_limit : {100'000U, 25U}) {
            CAPTURE(isolation.name);
            CAPTURE(queue_limit);
            auto document = make_document();
            document.quota.max_queued_tasks = queue_limit;
            auto zone = make_zone(document);
            const auto owner = zone.owner("h1");
            const auto entry = other_host(owner);
            auto job = make_job(20, false, "job");
            job.id = zone.make_id(owner, "order-1");
            isolation.isolate(zone, owner);
            // Fills the queue of the isolated owner, which with the lower limit refuses the next
            // job.
            zone.call(owner, make_job(20, false, "filler"));
            zone.call(owner, job);
            zone.run_for(core::duration_ms{4000});
            zone.call(entry, job);
            zone.run_for(core::duration_ms{3000});
            isolation.restore(zone, owner);
            zone.run_for(core::duration_ms{10'000});
            const auto found = testing::violations(zone.starts(), zone.calls());
            for (const auto& violation : found) {
                MESSAGE(violation);
            }
            CHECK(found.empty());
            CHECK(zone.calls().back().answers.front().outcome == outcome_class::answered);
        }
    }
}

// Guards against task starts on a target that has announced that it is leaving or that it no longer
// runs the service, or whose lease has expired without a renewal.
TEST_CASE("no task starts on a target that has left the service or whose lease has expired") {
    struct leave_case {
        std::string_view name;
        void (*leave)(zone_harness&);
        core::duration_ms bound;
    };
    const std::array cases{
        leave_case{"leaving", [](auto& zone) { zone.leave("t1"); }, core::duration_ms{10}},
        leave_case{"silent",
                   [](auto& zone) { zone.set_behaviour("t1", testing::target_behaviour::silent); },
                   core::duration_ms{3000}},
        leave_case{"service no longer listed",
                   [](auto& zone) { zone.set_services("t1", {"other"}); }, core::duration_ms{10}},
        leave_case{"no service", [](auto& zone) { zone.set_services("t1", {}); },
                   core::duration_ms{10}},
    };
    for (const auto& test : cases) {
        CAPTURE(test.name);
        auto zone = make_zone();
        test.leave(zone);
        const auto left = zone.now();
        zone.run_for(test.bound);
        for (int number = 0; number < 20; ++number) {
            zone.call("h1", make_job(10, true, "job" + std::to_string(number)));
        }
        zone.run_for(core::duration_ms{5000});
        for (const auto& start : zone.starts()) {
            CHECK((start.target != "t1" || start.at < left + test.bound));
        }
        CHECK(testing::violations(zone.starts(), zone.calls()).empty());
    }
}

// Guards against a target that gets no tasks after it has listed the service again.
TEST_CASE("a target that lists a service again gets its tasks") {
    for (const auto* const host : {"h1", "h2", "h3"}) {
        CAPTURE(host);
        zone_harness zone{3, make_document()};
        zone.add_target("t1", 4);
        zone.run_for(core::duration_ms{4000});
        zone.set_services("t1", {});
        zone.run_for(core::duration_ms{100});
        zone.set_services("t1", {"other", "restock"});
        zone.run_for(core::duration_ms{100});
        zone.call(host, make_job(1, true, "job"));
        zone.run_for(core::duration_ms{1000});
        CHECK(zone.starts().size() == 1);
    }
}

struct retry_case {
    std::string_view name;
    std::size_t tasks;
    bool idempotent;
    bool retry_failed_starts;
    bool all_answered;
};

// Guards against a shard and a scheduler that disagree about which failed tasks run again: single
// idempotent requests always do, jobs if they are idempotent and the service allows it.
TEST_CASE("a failed task runs again if its job and the service allow it") {
    constexpr std::array cases{
        retry_case{"request, retries of jobs not allowed", 1, true, false, true},
        retry_case{"request, retries of jobs allowed", 1, true, true, true},
        retry_case{"request that is not idempotent", 1, false, true, false},
        retry_case{"job, retries not allowed", 2, true, false, false},
        retry_case{"job, retries allowed", 2, true, true, true},
        retry_case{"job that is not idempotent", 2, false, true, false},
    };
    for (const auto& item : cases) {
        CAPTURE(item.name);
        auto document = make_document();
        document.retry.retry_failed_starts = item.retry_failed_starts;
        auto zone = make_zone(document);
        zone.set_behaviour("t1", testing::target_behaviour::failing);
        for (int number = 0; number < 12; ++number) {
            zone.call("h1", make_job(item.tasks, item.idempotent, "job" + std::to_string(number)));
        }
        zone.run_for(core::duration_ms{5000});
        bool all_answered = true;
        for (const auto& call : zone.calls()) {
            REQUIRE(call.answers.size() == 1);
            all_answered = all_answered && call.answers.front().outcome == outcome_class::answered;
        }
        CHECK(all_answered == item.all_answered);
        CHECK(std::ranges::any_of(zone.starts(),
                                  [](const auto& start) { return start.target == "t1"; }));
    }
}

// Guards against a checker that accepts every history, which would make the tests above pass
// whatever happens.
TEST_CASE("the checker finds each kind of violation") {
    auto job = make_job(2, false, "job");
    job.id = core::submission_id{"zone-a", 1, core::from_count(1), "k"};
    const core::job_answer complete{
        job.id, outcome_class::answered, "", {}, {"echo of job-0", "echo of job-1"}};
    auto partial = complete;
    partial.results.pop_back();
    auto swapped = complete;
    std::swap(swapped.results[0], swapped.results[1]);
    const core::job_answer refused{job.id, outcome_class::refused_not_run, "", {}, {}};
    const testing::observed_start start{"zone-a.1.1.k/0", 1, "t1", {}};
    struct checker_case {
        std::string_view name;
        std::vector<testing::observed_start> starts;
        std::vector<core::job_answer> answers;
        bool is_violation;
    };
    const std::array cases{
        checker_case{"complete answer", {start}, {complete}, false},
        checker_case{"missing answer", {}, {}, true},
        checker_case{"duplicate answer", {start}, {complete, complete}, true},
        checker_case{"partial answer", {start}, {partial}, true},
        checker_case{"results in the wrong order", {start}, {swapped}, true},
        checker_case{"started twice", {start, start}, {complete}, true},
        checker_case{"refused after a start", {start}, {refused}, true},
        checker_case{"refused without a start", {}, {refused}, false},
    };
    for (const auto& test : cases) {
        CAPTURE(test.name);
        const std::array calls{testing::observed_call{job, test.answers, {}, {}}};
        CHECK(testing::violations(test.starts, calls).empty() != test.is_violation);
    }
}

} // namespace
} // namespace hawthornstall::entry
