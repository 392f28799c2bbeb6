#pragma once

/// Settings, counts and parts of a simulated run.

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

/// Times are shorter than in production, so that a run of a few seconds crosses them often.
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

/// Lossy behaviour of the network, in percent of messages.
struct network_settings {
    unsigned drop_percent = 0;
    unsigned duplicate_percent = 0;
    int max_delay_ms = 5; ///< Delays are drawn per message, so messages overtake each other.
};

/// What happened in a run, to see that the schedules reach the cases they are for.
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

struct simulated_job {
    std::string id;
    std::string content;
    std::vector<std::string> results;
};

/// One call of a caller: a submission or a resubmission.
struct simulated_call {
    core::submission_id id;
    std::string content;
    std::uint32_t task_count = 1;
};

struct simulated_host {
    std::uint64_t incarnation = 1;
    std::unique_ptr<owner_log> log;
    bool is_chosen = false; ///< Believes that it should own the shard.
    time_ms paused_until{};
    time_ms down_until{};
    duration_ms clock_skew{};
    std::deque<std::function<void()>> inbox; ///< Inputs that wait while the host is paused.
    std::multimap<std::uint64_t, std::function<void()>> on_commit;
    std::map<submission_key, simulated_job> jobs;
};

} // namespace hawthornstall::journal::testing
