#include "hawthornstall/runs/pending_jobs.hpp"

#include <doctest/doctest.h>

#include <array>
#include <string>
#include <string_view>
#include <vector>

namespace hawthornstall::runs {
namespace {

using core::duration_ms;

constexpr core::time_ms start_time = core::from_count(1'000'000);

job_record make_record(std::uint64_t number, duration_ms run_time, std::int64_t cpu_millis) {
    job_request request{.id = std::to_string(number)};
    request.steps.push_back({.count = 2,
                             .resources = {.cpu_millis = cpu_millis, .memory_mb = 64},
                             .estimated = run_time});
    request.terms.stretch = 2.0;
    request.terms.latency_target = duration_ms{50};
    request.terms.deadline = duration_ms{10'000};
    auto job = make_job_record(std::move(request), start_time);
    job.number = number;
    return job;
}

std::vector<std::uint64_t> numbers(const pending_jobs& queue) {
    std::vector<std::uint64_t> result;
    for (const auto* job = queue.first(); job != nullptr; job = queue.after(*job)) {
        result.push_back(job->number);
    }
    return result;
}

struct review_case {
    std::string_view name;
    bool started;
    duration_ms updated;   ///< Age of the job at its update.
    duration_ms review_at; ///< Age at which its review is due.
};

// Guards against jobs that stay pending after they can no longer end in time, and against rounds of
// placement that look at every pending job. A run time of 100 ms gives an objective of 250 ms, an
// expected time of 145 ms and a result that is useless after 750 ms.
TEST_CASE("a job is due for review when time alone changes its position") {
    constexpr std::array cases{
        review_case{"in time", false, duration_ms{0}, duration_ms{106}},
        review_case{"late", false, duration_ms{200}, duration_ms{651}},
        review_case{"infeasible", false, duration_ms{700}, duration_ms{651}},
        review_case{"started", true, duration_ms{0}, duration_ms{5'750}},
    };
    for (const auto& item : cases) {
        CAPTURE(item.name);
        auto job = make_record(1, duration_ms{100}, 1'000);
        job.started = item.started;
        pending_jobs queue;
        queue.update(job, start_time + item.updated);
        CHECK(queue.due_review(start_time + item.review_at - duration_ms{1}) == nullptr);
        CHECK(queue.due_review(start_time + item.review_at) == &job);
        queue.erase(job);
        CHECK(queue.due_review(start_time + item.review_at) == nullptr);
        CHECK(queue.empty());
    }
}

// Guards against late jobs that take resources from jobs that can be in time.
TEST_CASE("started jobs come first and late ones last, each by objective") {
    auto slow = make_record(1, duration_ms{300}, 1'000);
    auto quick = make_record(2, duration_ms{100}, 1'000);
    auto started = make_record(3, duration_ms{400}, 1'000);
    started.started = true;
    pending_jobs queue;
    for (auto* const job : {&slow, &quick, &started}) {
        queue.update(*job, start_time);
    }
    CHECK(numbers(queue) == std::vector<std::uint64_t>{3, 2, 1});
    // At an age of 110 ms the quick job can no longer meet its objective.
    queue.update(quick, start_time + duration_ms{110});
    CHECK(numbers(queue) == std::vector<std::uint64_t>{3, 1, 2});
    started.pending_tasks = 0;
    queue.update(started, start_time + duration_ms{110});
    CHECK(numbers(queue) == std::vector<std::uint64_t>{1, 2});
}

// Guards against an expected wait that includes work which is done.
TEST_CASE("pending work is the sum over the pending jobs") {
    constexpr std::int64_t first_task{100'000};
    constexpr std::int64_t second_task{600'000};
    auto first = make_record(1, duration_ms{100}, 1'000);
    auto second = make_record(2, duration_ms{200}, 3'000);
    pending_jobs queue;
    queue.update(first, start_time);
    queue.update(second, start_time);
    CHECK(queue.pending_work() == 2 * first_task + 2 * second_task);
    CHECK(queue.work_before(second) == 2 * first_task);
    CHECK(queue.smallest_request().cpu_millis == 1'000);
    first.pending_work -= first_task;
    queue.update(first, start_time);
    CHECK(queue.work_before(second) == first_task);
    queue.erase(first);
    CHECK(queue.pending_work() == 2 * second_task);
    queue.erase(second);
    CHECK(queue.pending_work() == 0);
}

} // namespace
} // namespace hawthornstall::runs
