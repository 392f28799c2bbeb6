/// Measures the time per task and cancellation, and the memory per target and per queued task, with
/// 50, 500 and 5,000 targets and jobs of up to 690 tasks.

#include "hawthornstall/scheduling/scheduler.hpp"
#include "hawthornstall/scheduling/slot_capacity.hpp"

#include <benchmark/benchmark.h>

#include <cstdlib>
#include <malloc.h>
#include <new>
#include <string>
#include <vector>

namespace {

/// Bytes of all live allocations; this program has one thread.
std::size_t live_bytes = 0;

} // namespace

// Allocations are counted here because the statistics of the allocator include blocks in separate
// memory mappings too late.
[[gnu::noinline]] void* operator new(std::size_t size) {
    void* memory = std::malloc(size);
    if (memory == nullptr) {
        throw std::bad_alloc{};
    }
    live_bytes += malloc_usable_size(memory);
    return memory;
}

[[gnu::noinline]] void operator delete(void* memory) noexcept {
    live_bytes -= malloc_usable_size(memory);
    std::free(memory);
}

void operator delete(void* memory, std::size_t /*size*/) noexcept {
    operator delete(memory);
}

namespace hawthornstall::scheduling {
namespace {

using benchmarked_scheduler = scheduler<fewest_remaining, slot_capacity>;

constexpr core::duration_ms run_time{300};
constexpr core::duration_ms deadline{60'000};
constexpr std::uint32_t slots_per_target = 8;

std::vector<target_id> add_targets(benchmarked_scheduler& subject, std::int64_t count) {
    std::vector<target_id> targets;
    for (std::int64_t index = 0; index < count; ++index) {
        targets.push_back(subject.set_target("target-" + std::to_string(index),
                                             {.slots = slots_per_target}, true));
    }
    return targets;
}

void submit(benchmarked_scheduler& subject, std::uint64_t id, std::size_t tasks,
            core::time_ms now) {
    const std::vector<core::duration_ms> declared(tasks, run_time);
    subject.submit(static_cast<job_id>(id),
                   {.team = "team-" + std::to_string(id % 45),
                    .idempotent = true,
                    .deadline = now + deadline,
                    .declared_run_times = declared},
                   now);
}

/// Time for all calls that one task needs: it is submitted in a job of 10, started, sent and
/// answered. All slots are busy and two tasks per slot are queued, so each answer starts one task.
void decide_per_task(benchmark::State& state) {
    benchmarked_scheduler subject{core::service_document{}};
    add_targets(subject, state.range(0));
    core::time_ms now = core::from_count(0);
    decisions out;
    std::vector<start_decision> running;
    std::uint64_t next_job = 0;
    constexpr std::size_t job_size = 10;
    const auto queue_length = static_cast<std::uint64_t>(state.range(0)) * slots_per_target * 2;
    std::size_t position = 0;
    for (auto _ : state) {
        now += core::duration_ms{state.iterations() % 2};
        if (subject.queued_tasks() < queue_length) {
            submit(subject, next_job++, job_size, now);
        }
        subject.decide(now, out);
        for (const auto& start : out.starts) {
            subject.sent(start.attempt, now);
        }
        running.insert(running.end(), out.starts.begin(), out.starts.end());
        if (!running.empty()) {
            // A prime stride, so that attempts do not end in the order in which they started.
            position = (position + 7919) % running.size();
            subject.finished(running[position].attempt, attempt_result::answered, now);
            running[position] = running.back();
            running.pop_back();
        }
    }
    state.SetItemsProcessed(state.iterations());
    state.counters["queued"] = static_cast<double>(subject.queued_tasks());
}
BENCHMARK(decide_per_task)->Arg(50)->Arg(500)->Arg(5'000);

/// Time to cancel a job whose tasks are all queued.
void cancel_per_queued_task(benchmark::State& state) {
    benchmarked_scheduler subject{core::service_document{}};
    const core::time_ms now = core::from_count(0);
    const auto tasks = static_cast<std::size_t>(state.range(0));
    decisions out;
    std::uint64_t id = 0;
    for (auto _ : state) {
        state.PauseTiming();
        submit(subject, id, tasks, now);
        state.ResumeTiming();
        subject.cancel(static_cast<job_id>(id++));
        state.PauseTiming();
        subject.decide(now, out);
        state.ResumeTiming();
    }
}
BENCHMARK(cancel_per_queued_task)->Arg(1)->Arg(690);

void memory_per_target(benchmark::State& state) {
    double bytes = 0.0;
    for (auto _ : state) {
        const auto before = live_bytes;
        benchmarked_scheduler subject{core::service_document{}};
        add_targets(subject, state.range(0));
        bytes = static_cast<double>(live_bytes - before) / static_cast<double>(state.range(0));
    }
    state.counters["bytes_per_target"] = bytes;
}
BENCHMARK(memory_per_target)->Arg(50)->Arg(500)->Arg(5'000)->Iterations(1);

void memory_per_queued_task(benchmark::State& state) {
    constexpr std::size_t queued = 69'000;
    const auto job_size = static_cast<std::size_t>(state.range(0));
    double bytes = 0.0;
    for (auto _ : state) {
        benchmarked_scheduler subject{core::service_document{}};
        const auto before = live_bytes;
        for (std::size_t job = 0; job < queued / job_size; ++job) {
            submit(subject, job, job_size, core::from_count(0));
        }
        bytes = static_cast<double>(live_bytes - before) / queued;
    }
    state.counters["bytes_per_task"] = bytes;
}
BENCHMARK(memory_per_queued_task)->Arg(1)->Arg(10)->Arg(690)->Iterations(1);

} // namespace
} // namespace hawthornstall::scheduling

BENCHMARK_MAIN();
