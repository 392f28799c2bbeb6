#pragma once

/// Settings, counters and state of a simulated run.

#include "hawthornstall/journal/submission_table.hpp"

#include <array>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace hawthornstall::journal::testing {

using core::duration_ms;
using core::time_ms;

constexpr std::size_t host_count = 3;
constexpr std::size_t replica_count = 3;

inline const std::array<std::string, replica_count> replica_names{"r0", "r1", "r2"};
inline const std::array<std::string, host_count> host_names{"h0", "h1", "h2"};
inline const shard_id simulated_shard{"paint", "bilbao"};

/// Timeouts are shorter than in production, so that they expire often in a run of a few seconds.
inline const owner_settings simulated_owner_settings{
    .resend_after = duration_ms{40},
    .probe_interval = duration_ms{80},
    .quorum_timeout = duration_ms{200},
    .max_backlog = 8,
};
inline const table_settings simulated_table_settings{
    .retention = duration_ms{1500},
    .max_clock_skew = duration_ms{1000},
    .max_submissions = 100,
};

/// Faults of the network.
struct network_settings {
    unsigned drop_percent = 0; ///< Of the messages.
    unsigned duplicate_percent = 0;
    int max_delay_ms = 5; ///< Delays are drawn per message, so messages overtake each other.
};

/// Counts of events in a run, to check that the schedules reach the cases they are meant for.
struct run_counts {
    int starts = 0;
    int retries = 0;
    int answers = 0;
    int repeated_answers = 0;
    int refusals = 0;
    int step_downs = 0;
    int generations = 0;
    std::map<submission_verdict, int> verdicts;
};

/// Job that a host is running.
struct simulated_job {
    std::string id;
    std::string content;
    std::vector<std::string> results; ///< One per task; empty until the task has ended.
};

/// Request of a caller: a submission or a resubmission.
struct simulated_call {
    core::submission_id id;
    std::string content;
    std::uint32_t task_count = 1;
};

/// Entry host that competes for the shard.
struct simulated_host {
    std::uint64_t incarnation = 1;
    std::unique_ptr<owner_log> log;
    bool is_chosen = false; ///< Considers itself the host that should own the shard.
    time_ms paused_until{};
    time_ms down_until{};
    duration_ms clock_skew{};
    std::deque<std::function<void()>> inbox; ///< Inputs that arrived while the host was paused.
    std::multimap<std::uint64_t, std::function<void()>> on_commit; ///< By append sequence.
    std::map<submission_key, simulated_job> jobs;
};

} // namespace hawthornstall::journal::testing
