#pragma once

/// Settings of the load tool.

#include "hawthornstall/core/ms_clock.hpp"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace hawthornstall::tools {

/// HTTP call with which work is submitted.
enum class call_form : std::uint8_t {
    job,    ///< POST …/jobs with an issued identifier and the tool's own key.
    request ///< POST …/requests, one task; without an identifier when idempotent.
};

/// Entry hosts, rate, duration and job parameters of one load run.
struct load_settings {
    std::vector<std::string> hosts; ///< "ip:port" of entry hosts, used in turn.
    std::string service;
    std::string token;
    call_form form = call_form::job;
    bool idempotent = false;
    double jobs_per_second = 10.0;
    core::duration_ms duration{10'000};
    std::uint64_t max_jobs = 100'000;
    std::size_t max_open = 2000; ///< In-flight jobs; further ones are counted as not sent.
    core::duration_ms min_run_time{50};
    core::duration_ms max_run_time{150};
    core::duration_ms deadline{10'000};
    /// Time after the deadline at which an answer counts as missing.
    core::duration_ms patience{5000};
    std::size_t resubmits = 0; ///< Maximum number of retries of a job without an answer.
    std::uint64_t seed = 1;
};

} // namespace hawthornstall::tools
