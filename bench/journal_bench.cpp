/// Measures the cost of an append: append at the owner, encode, decode and apply at three replicas,
/// encode the acks, commit. Also measures the memory per submission and the messages per task.

#include "hawthornstall/journal/layouts.hpp"
#include "hawthornstall/journal/owner_log.hpp"
#include "hawthornstall/journal/replica.hpp"
#include "hawthornstall/wire/codec.hpp"

#include <benchmark/benchmark.h>

#include <array>
#include <cstdint>
#include <malloc.h>
#include <span>
#include <string>
#include <vector>

namespace hawthornstall::journal {
namespace {

using core::duration_ms;
using core::time_ms;

const std::array<std::string, 3> replica_names{"r0", "r1", "r2"};
const shard_id shard{"paint", "bilbao"};
constexpr time_ms now{duration_ms{1'000'000'000}};

/// An owner and its replicas. Every message is encoded and decoded.
class journal_group {
public:
    journal_group() {
        deliver(log_.take_ownership(now));
        messages_ = 0;
        bytes_ = 0;
    }

    void append(std::span<const job_records> records) {
        deliver(log_.append(records, now).effects);
    }

    void forget_before(time_ms time) { log_.forget_before(time); }

    [[nodiscard]] const owner_log& log() const { return log_; }
    [[nodiscard]] std::uint64_t messages() const { return messages_; }
    [[nodiscard]] std::uint64_t bytes() const { return bytes_; }

private:
    void deliver(const owner_effects& effects) {
        for (const auto& effect : effects) {
            const auto* const sent = std::get_if<send_to_replica>(&effect);
            if (sent == nullptr) {
                continue;
            }
            auto& target = replicas_.at(static_cast<std::size_t>(sent->replica.back() - '0'));
            const auto request = wire::encode(sent->message);
            const auto received = wire::decode<owner_message>(request);
            const auto reply = wire::encode(target.handle(*received));
            messages_ += 2;
            bytes_ += request.size() + reply.size();
            deliver(log_.handle(*wire::decode<replica_message>(reply), now, now));
        }
    }

    owner_log log_{shard, owner_identity{"h0", 1}, replica_names};
    std::array<replica, 3> replicas_{replica{"r0", 1}, replica{"r1", 1}, replica{"r2", 1}};
    std::uint64_t messages_ = 0;
    std::uint64_t bytes_ = 0;
};

/// All records of a job: registration and starts in the first append; the ends of its tasks and its
/// own end in the second.
struct job_appends {
    job_records started;
    job_records ended;
};

job_appends make_job(std::uint64_t number, std::uint32_t tasks, std::size_t result_bytes) {
    const submission_key submission{now + duration_ms{static_cast<std::int64_t>(number / 16)},
                                    "order-" + std::to_string(number)};
    job_appends job{.started = {.submission = submission,
                                .registration = submission_registration{{number, number}, tasks}},
                    .ended = {.submission = submission}};
    for (std::uint32_t task = 0; task < tasks; ++task) {
        job.started.starts.push_back({task, 1});
        job.ended.ends.push_back({task, 1, core::outcome_class::answered, false});
    }
    job.ended.end =
        job_end{.outcome = core::outcome_class::answered,
                .results = std::vector<std::string>(tasks, std::string(result_bytes, 'x'))};
    return job;
}

/// Number of submissions after which the earlier ones are dropped.
constexpr std::uint64_t submissions_per_expiry = 10'000;

/// Records of several jobs, grouped by append.
struct job_batch {
    std::vector<job_records> started;
    std::vector<job_records> ended;
};

/// Batch of `jobs` jobs from number `first` on.
job_batch make_batch(std::uint64_t first, std::uint32_t jobs, std::uint32_t tasks) {
    constexpr std::size_t result_bytes = 64;
    job_batch batch;
    for (std::uint64_t number = first; number < first + jobs; ++number) {
        auto job = make_job(number, tasks, result_bytes);
        batch.started.push_back(std::move(job.started));
        batch.ended.push_back(std::move(job.ended));
    }
    return batch;
}

/// Starts jobs that share their appends, and with `HasEnd` ends them too. Arguments: tasks per job,
/// jobs per append.
template <bool HasEnd> void run_jobs(benchmark::State& state) {
    const auto tasks = static_cast<std::uint32_t>(state.range(0));
    const auto jobs = static_cast<std::uint32_t>(state.range(1));
    journal_group group;
    std::uint64_t number = 0;
    for (auto _ : state) {
        state.PauseTiming();
        const auto batch = make_batch(number, jobs, tasks);
        if (number / submissions_per_expiry != (number + jobs) / submissions_per_expiry) {
            group.forget_before(batch.started.front().submission.issued);
        }
        number += jobs;
        state.ResumeTiming();
        group.append(batch.started);
        if constexpr (HasEnd) {
            group.append(batch.ended);
        }
        if (group.log().is_pending(batch.started.back().submission)) {
            state.SkipWithError("append was not committed");
            break;
        }
    }
    const auto all_tasks = static_cast<double>(number) * tasks;
    state.SetItemsProcessed(static_cast<std::int64_t>(number * tasks));
    state.counters["messages_per_task"] = static_cast<double>(group.messages()) / all_tasks;
    state.counters["bytes_per_task"] = static_cast<double>(group.bytes()) / all_tasks;
}

void start_record(benchmark::State& state) {
    run_jobs<false>(state);
}
void whole_job(benchmark::State& state) {
    run_jobs<true>(state);
}

/// Heap bytes per submission of one copy of the state, with open or with answered jobs. Arguments:
/// tasks per job, bytes per result, and whether the jobs have ended.
void memory_per_submission(benchmark::State& state) {
    const auto tasks = static_cast<std::uint32_t>(state.range(0));
    const auto result_bytes = static_cast<std::size_t>(state.range(1));
    const bool is_ended = state.range(2) != 0;
    constexpr std::uint64_t submissions = 2'000;
    double bytes = 0;
    for (auto _ : state) {
        const auto before = mallinfo2().uordblks;
        shard_state records;
        for (std::uint64_t number = 0; number < submissions; ++number) {
            const auto job = make_job(number, tasks, result_bytes);
            records.apply(job.started, 1);
            if (is_ended) {
                records.apply(job.ended, 1);
            }
        }
        bytes = static_cast<double>(mallinfo2().uordblks - before) / submissions;
        benchmark::DoNotOptimize(records.size());
    }
    state.counters["bytes"] = bytes;
}

BENCHMARK(start_record)->ArgNames({"tasks", "jobs"})->Args({1, 1})->Args({1, 16})->Args({690, 1});
BENCHMARK(whole_job)->ArgNames({"tasks", "jobs"})->Args({1, 1})->Args({1, 16})->Args({690, 1});
BENCHMARK(memory_per_submission)
    ->ArgNames({"tasks", "result_bytes", "ended"})
    ->Args({1, 64, 0})
    ->Args({1, 64, 1})
    ->Args({690, 64, 0})
    ->Args({690, 64, 1})
    ->Iterations(1);

} // namespace
} // namespace hawthornstall::journal

BENCHMARK_MAIN();
