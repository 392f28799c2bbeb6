/// Cost of the journal's path: append at the owner, encode, decode and apply at three replicas,
/// encode the acks, commit. Also the memory per remembered submission and the messages per task.

#include "hawthornstall/journal/layouts.hpp"
#include "hawthornstall/journal/owner_log.hpp"
#include "hawthornstall/journal/replica.hpp"
#include "hawthornstall/wire/codec.hpp"

#include <benchmark/benchmark.h>

#include <array>
#include <cstdint>
#include <deque>
#include <malloc.h>
#include <string>
#include <vector>

namespace hawthornstall::journal {
namespace {

using core::duration_ms;
using core::time_ms;

const std::array<std::string, 3> replica_names{"r0", "r1", "r2"};
const shard_id shard{"paint", "bilbao"};
constexpr time_ms now{duration_ms{1'000'000'000}};

/// An owner and its replicas; every message passes through the codec.
class journal_group {
public:
    journal_group() {
        deliver(log_.take_ownership(now));
        messages_ = 0;
        bytes_ = 0;
    }

    void append(const job_records& records) { deliver(log_.append(records, now).effects); }

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

/// All appends of a job's life: registration and starts, ends of its tasks, end.
struct job_life {
    job_records started;
    job_records ended;
};

job_life make_job(std::uint64_t number, std::uint32_t tasks, std::size_t result_bytes) {
    const submission_key submission{now + duration_ms{static_cast<std::int64_t>(number / 16)},
                                    "order-" + std::to_string(number)};
    job_life job{.started = {.submission = submission,
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

/// Submissions that are remembered while the benchmark runs; older ones are forgotten.
constexpr std::uint64_t remembered = 10'000;

/// One append with registration and all starts, until a quorum holds it.
void start_record(benchmark::State& state) {
    const auto tasks = static_cast<std::uint32_t>(state.range(0));
    journal_group group;
    std::uint64_t number = 0;
    for (auto _ : state) {
        state.PauseTiming();
        const auto job = make_job(++number, tasks, 0);
        if (number % remembered == 0) {
            group.forget_before(job.started.submission.issued);
        }
        state.ResumeTiming();
        group.append(job.started);
        if (group.log().committed() < number) {
            state.SkipWithError("append was not committed");
            break;
        }
    }
    const auto jobs = static_cast<double>(number);
    state.SetItemsProcessed(static_cast<std::int64_t>(number * tasks));
    state.counters["messages_per_task"] = static_cast<double>(group.messages()) / jobs / tasks;
    state.counters["bytes_per_task"] = static_cast<double>(group.bytes()) / jobs / tasks;
}

/// The whole life of a job: its start record and its answer.
void whole_job(benchmark::State& state) {
    const auto tasks = static_cast<std::uint32_t>(state.range(0));
    constexpr std::size_t result_bytes = 64;
    journal_group group;
    std::uint64_t number = 0;
    for (auto _ : state) {
        state.PauseTiming();
        const auto job = make_job(++number, tasks, result_bytes);
        if (number % remembered == 0) {
            group.forget_before(job.started.submission.issued);
        }
        state.ResumeTiming();
        group.append(job.started);
        group.append(job.ended);
    }
    const auto jobs = static_cast<double>(number);
    state.SetItemsProcessed(static_cast<std::int64_t>(number * tasks));
    state.counters["messages_per_task"] = static_cast<double>(group.messages()) / jobs / tasks;
    state.counters["bytes_per_task"] = static_cast<double>(group.bytes()) / jobs / tasks;
}

/// Heap bytes of one copy of the state, per submission: open jobs and answered ones.
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

BENCHMARK(start_record)->Arg(1)->Arg(690);
BENCHMARK(whole_job)->Arg(1)->Arg(690);
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
