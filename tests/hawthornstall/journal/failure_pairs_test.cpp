#include "simulation.hpp"

#include <doctest/doctest.h>

#include <string_view>

namespace hawthornstall::journal::testing {
namespace {

using simulated_run = simulation<replica, submission_table>;

enum class failure : std::uint8_t {
    owner_killed,
    owner_paused,
    replica_killed,
    replica_restarted,
    partition,
};

struct failure_case {
    std::string_view name;
    failure kind;
};

constexpr std::array failure_cases{
    failure_case{"owner killed", failure::owner_killed},
    failure_case{"owner paused", failure::owner_paused},
    failure_case{"replica killed", failure::replica_killed},
    failure_case{"replica restarted empty", failure::replica_restarted},
    failure_case{"owner cut off from a replica", failure::partition},
};

/// Step of a job, in ms after its submission. Every message takes 1 ms, and every task 10 ms.
struct step_case {
    std::string_view name;
    int offset_ms;
    bool is_started;
    bool is_answered;
};

constexpr std::array step_cases{
    step_case{"before the call", -1, false, false},
    step_case{"records sent", 0, false, false},
    step_case{"records at the replicas", 1, false, false},
    step_case{"task running", 3, true, false},
    step_case{"answer sent to the replicas", 12, true, false},
    step_case{"answer at the replicas", 13, true, false},
    step_case{"answered", 15, true, true},
};

/// Time between the two failures. A restarted replica has been repaired after the longest one.
constexpr std::array gaps_ms{0, 1, 5, 300};
constexpr int repaired_after_ms = 300;

/// Applies failures to a run and hands the shard over to the next host where needed.
class failure_injector {
public:
    explicit failure_injector(simulated_run& run) : run_(run) {}

    void fail(failure kind) {
        constexpr duration_ms long_time{100'000};
        switch (kind) {
        case failure::owner_killed:
            run_.restart_host(owner_, duration_ms{200});
            replace_owner();
            break;
        case failure::owner_paused:
            run_.pause_host(owner_, duration_ms{1000});
            replace_owner();
            break;
        case failure::replica_killed:
            run_.restart_replica(next_replica_++, long_time);
            break;
        case failure::replica_restarted:
            run_.restart_replica(next_replica_++);
            break;
        case failure::partition:
            run_.cut(owner_, next_replica_++, duration_ms{600});
            break;
        }
    }

    [[nodiscard]] std::size_t owner() const { return owner_; }

private:
    void replace_owner() {
        owner_ = (owner_ + 1) % host_count;
        run_.choose_owner(owner_);
    }

    simulated_run& run_;
    std::size_t owner_ = 0;
    std::size_t next_replica_ = 0; ///< Each failure hits another replica.
};

/// Two failures, the first at `step` and the second `gap_ms` later.
struct pair_case {
    step_case step;
    failure first = failure::owner_killed;
    failure second = failure::owner_killed;
    int gap_ms = 0;
};

/// Whether the failures leave a quorum that holds the records or that may form a new generation.
bool expect_serving(const pair_case& test) {
    const bool first_killed = test.first == failure::replica_killed;
    const bool second_killed = test.second == failure::replica_killed;
    const bool first_restarted = test.first == failure::replica_restarted;
    const bool second_restarted = test.second == failure::replica_restarted;
    const bool is_repaired = test.gap_ms >= repaired_after_ms;
    return !(first_killed && (second_killed || second_restarted)) &&
           !(first_restarted && second_killed && !is_repaired);
}

bool expect_new_generation(const pair_case& test) {
    return test.first == failure::replica_restarted && test.second == failure::replica_restarted &&
           test.gap_ms < repaired_after_ms;
}

void start_shard(simulated_run& run) {
    run.refusal_percent = 0;
    run.failure_percent = 0;
    run.loss_percent = 0;
    run.min_run_time_ms = 10;
    run.max_run_time_ms = 10;
    run.starts_at_once = true;
    run.choose_owner(0);
    run.run_for(duration_ms{400});
    REQUIRE(run.serving_host() == 0);
}

/// Runs the call, the two failures and the resubmissions; returns the last owner.
std::size_t run_pair(simulated_run& run, const pair_case& test, const simulated_call& call) {
    failure_injector failures{run};
    const auto called = run.now() + duration_ms{20};
    const auto failed = called + duration_ms{test.step.offset_ms};
    // Events at the same time run in the order in which they were scheduled: the call comes first.
    run.at(called, [&run, &call] { run.submit(0, call); });
    run.at(failed, [&failures, &test] { failures.fail(test.first); });
    run.at(failed + duration_ms{test.gap_ms}, [&failures, &test] { failures.fail(test.second); });
    for (const int wait_ms : {50, 350, 700, 1100}) {
        run.at(called + duration_ms{wait_ms},
               [&run, &failures, &call] { run.submit(failures.owner(), call); });
    }
    // After the paused owners have resumed and before the identifier expires.
    run.run_until(called + duration_ms{1400});
    return failures.owner();
}

void check_resubmission(const pair_case& test, const simulated_run& run) {
    const auto verdict = run.last_verdict().value();
    CAPTURE(to_string(verdict));
    if (expect_new_generation(test)) {
        CHECK(verdict == submission_verdict::other_generation);
    } else if (test.step.is_answered) {
        CHECK(verdict == submission_verdict::answered);
    } else {
        // The resubmissions have run the tasks that had not started. The job is neither pending nor
        // refused.
        const bool has_ended =
            verdict == submission_verdict::answered || verdict == submission_verdict::may_have_run;
        CHECK(has_ended);
        CHECK((!test.step.is_started || run.counts().starts == 2));
    }
}

void check_pair(const pair_case& test) {
    simulated_run run{1, {.max_delay_ms = 1}};
    start_shard(run);
    const auto generation = run.log(0).generation();
    const simulated_call call{.id = run.issue(0), .content = "first", .task_count = 2};
    const auto owner = run_pair(run, test, call);

    const auto violation = find_violation(run.events());
    REQUIRE_MESSAGE(!violation, *violation);
    REQUIRE((run.serving_host() == owner) == expect_serving(test));
    if (expect_serving(test)) {
        CHECK((run.log(owner).generation() != generation) == expect_new_generation(test));
        run.submit(owner, call);
        check_resubmission(test, run);
    }
}

// Guards against faults in the handling of a failure that occurs while another one is being
// handled: a job that runs twice, an answer that is lost although a quorum held it, and a shard
// that stops although a quorum is left.
TEST_CASE("no pair of failures breaks an invariant at any step of a job") {
    for (const auto& step : step_cases) {
        for (const auto& first : failure_cases) {
            for (const auto& second : failure_cases) {
                for (const int gap_ms : gaps_ms) {
                    CAPTURE(step.name);
                    CAPTURE(first.name);
                    CAPTURE(second.name);
                    CAPTURE(gap_ms);
                    check_pair({step, first.kind, second.kind, gap_ms});
                }
            }
        }
    }
}

} // namespace
} // namespace hawthornstall::journal::testing
