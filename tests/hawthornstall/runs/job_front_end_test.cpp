#include "hawthornstall/runs/job_front_end.hpp"

#include <doctest/doctest.h>

#include <array>
#include <functional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace hawthornstall::runs {
namespace {

using core::duration_ms;

constexpr core::time_ms start_time = core::from_count(1'000'000);

struct answer_case {
    std::string_view name;
    std::optional<std::string> scheduler;
    std::function<void(job_front_end&)> act;
    job_result expected = job_result::lost;
    std::size_t messages = 1; ///< All that are sent, including the submission.
};

// Guards against a caller that gets no answer, or two.
TEST_CASE("each request gets exactly one answer") {
    const auto nothing = [](job_front_end&) {
    };
    const auto end = [](job_front_end& front_end) {
        front_end.ended("s", {.number = 1, .result = job_result::completed}, start_time);
        front_end.ended("s", {.number = 1, .result = job_result::failed}, start_time);
    };
    const auto wrong_host = [](job_front_end& front_end) {
        front_end.ended("other", {.number = 1, .result = job_result::completed}, start_time);
        front_end.host_unreachable("other", std::nullopt, start_time);
        front_end.host_unreachable("s", std::nullopt, start_time);
    };
    const auto leave = [](job_front_end& front_end) {
        front_end.caller_left(70, start_time);
    };
    const auto wait = [](job_front_end& front_end) {
        front_end.tick(start_time + duration_ms{1'600});
        CHECK_FALSE(front_end.idle());
        front_end.tick(start_time + duration_ms{1'750});
    };
    const auto grant_and_wait = [&wait](job_front_end& front_end) {
        CHECK(front_end.granted("s", {.number = 1, .key = 9, .holder = "h", .target = "w-1"}));
        wait(front_end);
    };
    const std::array cases{
        answer_case{"no scheduler", std::nullopt, nothing, job_result::refused, 0},
        answer_case{"the result arrives twice", "s", end, job_result::completed, 1},
        answer_case{"messages of and about other hosts are ignored", "s", wrong_host,
                    job_result::refused, 1},
        answer_case{"the caller leaves", "s", leave, job_result::lost, 2},
        answer_case{"no answer by the deadline, no run started", "s", wait, job_result::refused, 2},
        answer_case{"no answer by the deadline, a run was started", "s", grant_and_wait,
                    job_result::lost, 3},
    };
    for (const auto& item : cases) {
        CAPTURE(item.name);
        job_front_end front_end;
        job_request job;
        job.id = "a";
        job.steps.resize(1);
        job.terms.deadline = duration_ms{1'500};
        front_end.open(70, job, item.scheduler, start_time, start_time);
        item.act(front_end);
        const auto effects = front_end.take_effects();
        REQUIRE(effects.answers.size() == 1);
        CHECK(effects.answers[0].request == 70);
        CHECK(effects.answers[0].result == item.expected);
        CHECK(effects.messages.size() == item.messages);
        CHECK(front_end.idle());
    }
}

// Guards against a deadline that starts over after a request has waited for the configuration.
TEST_CASE("the deadline of a job counts from the arrival of its request") {
    job_front_end front_end;
    job_request job;
    job.id = "a";
    job.terms.deadline = duration_ms{1'500};
    front_end.open(70, job, "s", start_time, start_time + duration_ms{400});
    const auto effects = front_end.take_effects();
    REQUIRE(effects.messages.size() == 1);
    CHECK(std::get<submit_job>(effects.messages[0].message).age == duration_ms{400});
    front_end.tick(start_time + duration_ms{1'701});
    CHECK(front_end.take_effects().answers.size() == 1);
}

// Guards against a start message with another job's specification or resource request.
TEST_CASE("a grant becomes a start message with the job's own specification") {
    job_front_end front_end;
    job_request job;
    job.id = "a";
    job.specification = "spec";
    job.steps.resize(2);
    job.steps[1].resources = {.cpu_millis = 500};
    front_end.open(70, job, "s", start_time, start_time);
    (void)front_end.take_effects();
    const grant_run grant{
        .number = 1, .key = 9, .holder = "h", .target = "w-1", .step = 1, .index = 3, .run = 2};
    CHECK(front_end.granted("s", grant));
    const auto effects = front_end.take_effects();
    REQUIRE(effects.messages.size() == 1);
    CHECK(effects.messages[0].host == "h");
    const auto& start = std::get<start_run>(effects.messages[0].message);
    CHECK(start.scheduler == "s");
    CHECK(start.key == 9);
    CHECK(start.specification == "spec");
    CHECK(start.resources == core::resources{.cpu_millis = 500});
    CHECK(start.run == run_name{.task = {"a", 1, 3}, .number = 2});
}

// Guards against a scheduler that was suspended, processes old submissions when it resumes, and
// keeps granting runs for jobs that were answered long ago. In a benchmark this caused 40 s without
// service.
TEST_CASE("a grant for a job that is not open cancels the job at the scheduler") {
    job_front_end front_end;
    CHECK_FALSE(front_end.granted("s", {.number = 61, .key = 9, .holder = "h", .target = "w-1"}));
    const auto effects = front_end.take_effects();
    REQUIRE(effects.messages.size() == 1);
    CHECK(effects.messages[0].host == "s");
    CHECK(std::get<cancel_job>(effects.messages[0].message).number == 61);
}

struct move_case {
    std::string_view name;
    bool is_started;   ///< A run of the job was started before.
    bool is_reachable; ///< Whether the former scheduler can be reached.
    std::size_t answers;
    std::vector<std::string_view> receivers; ///< Hosts that get messages, in order.
};

// Guards against losing jobs with their scheduler although no run of them was started, against jobs
// that wait at a host that no longer schedules and gets no reports, and against starting a run
// twice after a change of scheduler.
TEST_CASE("a job moves to the next scheduler unless a run of it was started") {
    const std::array cases{
        move_case{"former scheduler is lost", false, false, 0, {"next"}},
        move_case{"former scheduler is lost, run started", true, false, 1, {}},
        move_case{"another one schedules", false, true, 0, {"s", "next"}},
        move_case{"another one schedules, run started", true, true, 0, {}},
    };
    constexpr duration_ms age{700};
    const grant_run grant{.number = 1, .key = 9, .holder = "h", .target = "w-1"};
    for (const auto& item : cases) {
        CAPTURE(item.name);
        job_front_end front_end;
        job_request job;
        job.id = "a";
        job.steps.resize(1);
        job.terms.deadline = duration_ms{1'500};
        front_end.open(70, job, "s", start_time, start_time);
        if (item.is_started) {
            CHECK(front_end.granted("s", grant));
        }
        (void)front_end.take_effects();
        if (item.is_reachable) {
            front_end.scheduler_changed("next", start_time + age);
        } else {
            front_end.host_unreachable("s", "next", start_time + age);
        }
        const auto effects = front_end.take_effects();
        REQUIRE(effects.answers.size() == item.answers);
        CHECK((item.answers == 0 || effects.answers[0].result == job_result::lost));
        REQUIRE(effects.messages.size() == item.receivers.size());
        for (std::size_t index = 0; index < item.receivers.size(); ++index) {
            CHECK(effects.messages[index].host == item.receivers[index]);
        }
        if (item.receivers.empty()) {
            continue;
        }
        const bool is_cancelled =
            std::holds_alternative<cancel_job>(effects.messages.front().message);
        CHECK(is_cancelled == item.is_reachable);
        CHECK(std::get<submit_job>(effects.messages.back().message).age == age);
        CHECK_FALSE(front_end.granted("s", grant));
        CHECK(front_end.granted("next", grant));
    }
}

} // namespace
} // namespace hawthornstall::runs
