#include "hawthornstall/entry/start_batch.hpp"

#include <doctest/doctest.h>

#include <array>
#include <string>
#include <vector>

namespace hawthornstall::entry {
namespace {

constexpr std::uint64_t earlier_sequence = 7;

const std::array<std::string, 3> replicas{"h1", "h2", "h3"};

open_job make_job(std::size_t tasks) {
    open_job job;
    job.submission = journal::submission_key{.issued = {}, .key = "k"};
    job.request.tasks.resize(tasks);
    job.first_attempt_used.resize(tasks);
    return job;
}

// Guards against a task that starts although its start record was never appended, and against an
// append per task, which would multiply the journal's messages.
TEST_CASE("the first starts of all tasks of a job share one record") {
    const journal::owner_log log{{}, {}, replicas};
    const journal::submission_table table{log, {}};
    open_jobs jobs;
    const auto number = jobs.add(make_job(3));
    start_batch batch{table};
    for (const std::uint32_t task : {0U, 1U}) {
        const auto permit =
            batch.add({.job = number, .task = task, .run = 100U + task}, jobs.at(number));
        REQUIRE(permit);
        CHECK(permit->attempt == 1);
        CHECK_FALSE(permit->sequence);
    }
    REQUIRE(batch.records().size() == 1);
    CHECK(batch.records()[0].registration.has_value());
    CHECK(batch.records()[0].starts.size() == 3);
    CHECK(std::vector<std::uint64_t>(batch.runs().begin(), batch.runs().end()) ==
          std::vector<std::uint64_t>{100, 101});

    batch.set_sequence(jobs, earlier_sequence);
    start_batch next{table};
    const auto permit = next.add({.job = number, .task = 2, .run = 102}, jobs.at(number));
    REQUIRE(permit);
    CHECK(permit->sequence == earlier_sequence);
    CHECK(next.records().empty());
    CHECK(next.runs().empty());
}

// Guards against a second start of a task of which the journal does not allow another attempt.
TEST_CASE("a task starts again only if the journal permits another attempt") {
    const journal::owner_log log{{}, {}, replicas};
    const journal::submission_table table{log, {}};
    auto job = make_job(1);
    job.registered = true;
    job.first_attempt_used = {true};
    start_batch batch{table};
    CHECK_FALSE(batch.add({.job = 1, .task = 0, .run = 100}, job));
    CHECK(batch.records().empty());
    CHECK(batch.runs().empty());
}

// Guards against a job that counts as registered although the journal refused its records. Later
// starts of the job would then run without a start record.
TEST_CASE("rolling back a batch restores the state of its jobs") {
    const journal::owner_log log{{}, {}, replicas};
    const journal::submission_table table{log, {}};
    open_jobs jobs;
    const auto number = jobs.add(make_job(2));
    start_batch batch{table};
    REQUIRE(batch.add({.job = number, .task = 0, .run = 100}, jobs.at(number)));
    batch.roll_back(jobs);
    CHECK_FALSE(jobs.at(number).registered);
    CHECK(jobs.at(number).first_attempt_used == std::vector<bool>{false, false});
    start_batch next{table};
    REQUIRE(next.add({.job = number, .task = 0, .run = 101}, jobs.at(number)));
    CHECK(next.records().size() == 1);
}

} // namespace
} // namespace hawthornstall::entry
