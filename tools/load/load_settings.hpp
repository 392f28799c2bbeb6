#pragma once

/// What a load run submits and how long it lasts.

#include "hawthornstall/core/ms_clock.hpp"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace hawthornstall::tools {

/// Kind of call that is submitted.
enum class call_form : std::uint8_t {
    job,    ///< POST …/jobs under an issued identifier with the tool's own key.
    request ///< POST …/requests, one task; without an identifier when idempotent.
};

/// One load run.
struct load_settings {
    std::vector<std::string> hosts; ///< "ip:port" of entry hosts, used in turn.
    std::string service;
    std::string token;
    call_form form = call_form::job;
    bool idempotent = false;
    double jobs_per_second = 10.0;
    core::duration_ms duration{10'000};
    std::uint64_t max_jobs = 100'000;
    std::size_t max_open = 2000; ///< Further jobs are counted as not sent.
    core::duration_ms shortest_run{50};
    core::duration_ms longest_run{150};
    core::duration_ms deadline{10'000};
    core::duration_ms patience{5000}; ///< Time beyond the deadline until an answer is missing.
    std::size_t resubmits = 0;        ///< Times that a job without an answer is sent again.
    std::uint64_t seed = 1;
};

} // namespace hawthornstall::tools
