#pragma once

/// Schedule of random faults and calls for one simulated run.

#include "simulation.hpp"

namespace hawthornstall::journal::testing {

/// Duration of the part of a run that has faults.
constexpr duration_ms schedule_length{5000};

/// Restarts the replica `next` as soon as the replica `repaired` has recovered; checks this up to
/// `checks` times, every 2 ms.
template <class Simulation>
void restart_next_after_repair(Simulation& run, std::size_t repaired, std::size_t next,
                               int checks) {
    if (run.is_recovered(repaired)) {
        run.restart_replica(next);
    } else if (checks > 0) {
        run.at(run.now() + duration_ms{2}, [&run, repaired, next, checks] {
            restart_next_after_repair(run, repaired, next, checks - 1);
        });
    }
}

/// Applies one fault, or a change of the chosen owner.
template <class Simulation> void apply_random_fault(Simulation& run) {
    const auto host = run.draw(host_count);
    const auto replica = run.draw(replica_count);
    const duration_ms brief{20 + run.draw(400)};
    switch (run.draw(10)) {
    case 0:
        run.pause_host(host, run.chance(20) ? duration_ms{2000} : brief);
        break;
    case 1:
        run.restart_host(host, brief);
        break;
    case 2:
        run.restart_replica(replica, brief);
        break;
    case 3:
        run.restart_replica(replica);
        restart_next_after_repair(run, replica, (replica + 1 + run.draw(2)) % replica_count, 100);
        break;
    case 4:
        run.cut(host, replica, brief);
        break;
    case 5:
        run.choose_owner(host);
        break;
    case 6:
        run.choose_owner(host, false);
        break;
    case 7:
        run.set_network({.drop_percent = run.draw(20),
                         .duplicate_percent = run.draw(20),
                         .max_delay_ms = static_cast<int>(1 + run.draw(60))});
        break;
    case 8:
        run.set_clock_skew(host, duration_ms{static_cast<int>(run.draw(1600)) - 800});
        break;
    default:
        // Rare, because a restart of all replicas ends the generation and most jobs in flight.
        for (std::size_t index = 0; run.chance(30) && index < replica_count; ++index) {
            run.restart_replica(index, duration_ms{run.draw(50)});
        }
    }
}

/// Schedules a submission and its resubmissions, through random hosts and some with other content.
template <class Simulation> void add_submission(Simulation& run) {
    // A host that doesn't serve may know only an old generation.
    const auto issuer = run.serving_host();
    const simulated_call call{.id = run.issue(issuer ? *issuer : run.draw(host_count)),
                              .content = "first",
                              .task_count = 1 + run.draw(3)};
    const auto calls = 1 + run.draw(4);
    for (unsigned index = 0; index < calls; ++index) {
        const duration_ms delay{run.chance(80) ? run.draw(400) : run.draw(2500)};
        run.at(run.now() + delay, [&run, call] {
            auto sent = call;
            sent.content = run.chance(90) ? "first" : "second";
            const auto owner = run.serving_host();
            run.submit(owner && run.chance(70) ? *owner : run.draw(host_count), sent);
        });
    }
}

/// Runs one schedule: faults and calls, then a time without faults in which the shard must start to
/// serve again.
template <class Simulation> void run_schedule(Simulation& run) {
    run.choose_owner(0);
    const auto end = run.now() + schedule_length;
    for (auto time = run.now() + duration_ms{100}; time < end;
         time += duration_ms{1 + run.draw(300)}) {
        run.at(time, [&run] { apply_random_fault(run); });
    }
    for (auto time = run.now(); time < end; time += duration_ms{1 + run.draw(120)}) {
        run.at(time, [&run] { add_submission(run); });
    }
    run.run_until(end);
    run.set_network({});
    run.choose_owner(0);
    run.run_for(duration_ms{4000});
}

} // namespace hawthornstall::journal::testing
