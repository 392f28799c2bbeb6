#include "hawthornstall/scheduling/job_queue.hpp"

#include <doctest/doctest.h>

#include <array>
#include <string>
#include <vector>

namespace hawthornstall::scheduling {
namespace {

/// A job to queue, as input of start_order().
struct queued_job {
    std::string_view team;
    std::int64_t arrival = 0;
    std::uint32_t tasks = 0;
};

/// Order in which tasks of the jobs start, one letter per start ('a' is the first job). Each task
/// is answered before the next one starts.
template <queue_order Order>
std::string start_order(const std::vector<queued_job>& table, std::size_t starts) {
    job_queue<Order> queue;
    std::vector<job_state> jobs(table.size());
    for (std::size_t index = 0; index < table.size(); ++index) {
        auto& job = jobs[index];
        job.team = queue.intern_team(table[index].team);
        job.sequence = index;
        job.arrival = core::from_count(table[index].arrival);
        job.declared_ms.resize(table[index].tasks);
        job.longest_first.resize(table[index].tasks);
        job.queued_end = table[index].tasks;
        queue.update(job);
    }
    std::string order;
    while (order.size() < starts && queue.front() != nullptr) {
        auto& job = *queue.front();
        order += static_cast<char>('a' + (&job - jobs.data()));
        queue.take_task(job, 100.0);
        queue.end_attempt(job.team);
        ++job.answered_tasks;
        queue.update(job);
    }
    return order;
}

// Guards against a queue order that starves a job or a team.
TEST_CASE("each queue order starts tasks in its own sequence") {
    const std::vector<queued_job> sizes{{"t", 0, 4}, {"t", 1, 1}, {"t", 2, 2}};
    CHECK(start_order<first_in_first_out>(sizes, 9) == "aaaabcc");
    CHECK(start_order<fewest_remaining>(sizes, 9) == "bccaaaa");
    // 100 tasks count like an arrival 1,000 ms later, so a single task that arrives 1,001 ms later
    // goes after them.
    const std::vector<queued_job> aged{{"t", 0, 100}, {"t", 1'001, 1}};
    CHECK(start_order<fewest_remaining>(aged, 2) == "aa");
    const std::vector<queued_job> teams{{"t", 0, 4}, {"t", 0, 4}, {"u", 1, 3}};
    CHECK(start_order<fair_share>(teams, 8) == "acacacab");
}

// Guards against a team that occupies all targets while other teams wait.
TEST_CASE("a team at its limit is passed over until an attempt ends") {
    job_queue<first_in_first_out> queue;
    std::array<job_state, 2> jobs;
    for (std::size_t index = 0; index < jobs.size(); ++index) {
        jobs.at(index).team = queue.intern_team(index == 0 ? "at_limit" : "below_limit");
        jobs.at(index).sequence = index;
        jobs.at(index).declared_ms.resize(5);
        jobs.at(index).longest_first.resize(5);
        jobs.at(index).queued_end = 5;
        queue.update(jobs.at(index));
    }
    queue.set_team_limit(2);
    queue.take_task(jobs[0], 1.0);
    CHECK(queue.front() == jobs.data());
    queue.take_task(jobs[0], 1.0);
    CHECK(queue.front() == &jobs[1]);
    queue.end_attempt(jobs[0].team);
    CHECK(queue.front() == jobs.data());
}

// Guards against counts of pending tasks that become wrong when a queued job changes.
TEST_CASE("the counts of pending tasks follow every change of a job") {
    job_queue<fewest_remaining> queue;
    job_state job;
    job.team = queue.intern_team("t");
    job.declared_ms.resize(10);
    job.longest_first.resize(10);
    job.queued_end = 10;
    job.task_work_ms = 30;
    queue.update(job);
    CHECK(queue.pending() == 10);
    queue.take_task(job, 1.0);
    job.requeued.push_back({0, std::nullopt});
    queue.update(job);
    CHECK(queue.pending() == 10);
    CHECK(queue.work_ahead_ms(job.team, {core::from_count(0), 100, false}) == 300);
    CHECK(queue.work_ahead_ms(job.team, {core::from_count(-10'000), 1, false}) == 0);
    queue.remove(job);
    CHECK(queue.pending() == 0);
    CHECK(queue.pending_of(job.team) == 0);
    CHECK(queue.front() == nullptr);
}

} // namespace
} // namespace hawthornstall::scheduling
