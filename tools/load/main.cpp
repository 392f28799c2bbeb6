/// hawthornstall-load: open-loop load generator that submits jobs to entry hosts on loopback at a
/// fixed mean rate and checks the answers.

#include "common/split_list.hpp"
#include "hawthornstall/net/socket_address.hpp"
#include "hawthornstall/runtime/event_loop.hpp"
#include "load/load_run.hpp"

#include <gflags/gflags.h>

#include <algorithm>
#include <array>
#include <fstream>
#include <iostream>
#include <string>
#include <string_view>

DEFINE_string(entry, "", "entry hosts, ip:port separated by commas, used in turn; loopback only");
DEFINE_string(service, "", "service that is called");
DEFINE_string(token_file, "", "file that holds the caller's bearer token");
DEFINE_string(form, "job", "job or request");
DEFINE_bool(idempotent, false, "mark the work as idempotent");
DEFINE_double(rate, 10.0, "jobs per second; arrivals are a Poisson process");
DEFINE_uint32(duration_s, 10, "seconds during which jobs arrive, at most 3600");
DEFINE_uint64(max_jobs, 100'000, "no more jobs than this are submitted");
DEFINE_uint64(max_open, 2000, "jobs open at once; further ones are counted as not sent");
DEFINE_string(size, "fixed", "distribution of tasks per job: fixed, uniform or geometric");
DEFINE_uint32(mean_tasks, 1, "mean number of tasks per job, 1 to 690");
DEFINE_uint32(run_time_ms_min, 50, "shortest run time of a task");
DEFINE_uint32(run_time_ms_max, 150, "longest run time of a task");
DEFINE_uint32(deadline_ms, 10'000, "deadline of each job");
DEFINE_uint32(patience_ms, 5000, "time beyond the deadline until an answer counts as missing");
DEFINE_uint32(resubmits, 0, "times that a job without an answer is sent again, to the next host");
DEFINE_uint64(seed, 1, "seed of all random choices");

namespace hawthornstall::tools {
namespace {

constexpr int exit_fault = 1;
constexpr int exit_usage = 2;

std::string read_token() {
    std::string token;
    std::ifstream{FLAGS_token_file} >> token;
    return token;
}

load_settings settings_from_flags() {
    return {.hosts = split_list(FLAGS_entry),
            .service = FLAGS_service,
            .token = read_token(),
            .form = FLAGS_form == "job" ? call_form::job : call_form::request,
            .idempotent = FLAGS_idempotent,
            .jobs_per_second = FLAGS_rate,
            .duration = std::chrono::seconds{FLAGS_duration_s},
            .max_jobs = FLAGS_max_jobs,
            .max_open = FLAGS_max_open,
            .min_run_time = core::duration_ms{FLAGS_run_time_ms_min},
            .max_run_time = core::duration_ms{FLAGS_run_time_ms_max},
            .deadline = core::duration_ms{FLAGS_deadline_ms},
            .patience = core::duration_ms{FLAGS_patience_ms},
            .resubmits = FLAGS_resubmits,
            .seed = FLAGS_seed};
}

/// Returns the first error in the flags, or an empty string when they are valid.
std::string_view find_usage_error(const load_settings& settings) {
    constexpr std::uint32_t max_duration_s = 3600;
    if (settings.hosts.empty() || !std::ranges::all_of(settings.hosts, net::is_loopback)) {
        return "--entry takes loopback addresses only";
    }
    if (settings.service.empty() || settings.token.empty()) {
        return "--service and --token_file are required";
    }
    if (FLAGS_form != "job" && FLAGS_form != "request") {
        return "--form takes job or request";
    }
    if (!(FLAGS_rate > 0.0) || FLAGS_duration_s > max_duration_s || FLAGS_max_open == 0) {
        return "--rate and --max_open must be positive, and --duration_s at most 3600";
    }
    if (FLAGS_mean_tasks == 0 || FLAGS_mean_tasks > max_tasks_per_job ||
        FLAGS_run_time_ms_min > FLAGS_run_time_ms_max) {
        return "--mean_tasks takes 1 to 690, and --run_time_ms_min at most --run_time_ms_max";
    }
    return {};
}

template <job_size_distribution Sizes> int run(const load_settings& settings) {
    runtime::event_loop loop;
    load_run<Sizes> load{loop, settings, {.mean = FLAGS_mean_tasks}, [&] {
                             loop.stop();
                         }};
    const auto progress = loop.every(std::chrono::seconds{1},
                                     [&] { std::cout << load.results().summary() << std::endl; });
    load.start();
    loop.run();
    std::cout << load.results().report() << std::flush;
    return load.results().faults() == 0 ? 0 : exit_fault;
}

/// A value of --size and the load run with that distribution.
struct named_sizes {
    std::string_view name;
    int (*run)(const load_settings&);
};

constexpr std::array distributions{
    named_sizes{"fixed", run<fixed_sizes>},
    named_sizes{"uniform", run<uniform_sizes>},
    named_sizes{"geometric", run<geometric_sizes>},
};

int run_from_flags() {
    const auto settings = settings_from_flags();
    auto usage_error = find_usage_error(settings);
    for (const auto& item : distributions) {
        if (usage_error.empty() && item.name == FLAGS_size) {
            return item.run(settings);
        }
    }
    usage_error = usage_error.empty() ? "--size takes fixed, uniform or geometric" : usage_error;
    std::cerr << "error: " << usage_error << '\n';
    return exit_usage;
}

} // namespace
} // namespace hawthornstall::tools

int main(int argc, char** argv) {
    gflags::SetUsageMessage("hawthornstall-load --entry=<hosts> --service=<name> "
                            "--token_file=<file>; exits with 1 when an answer is missing, "
                            "unreadable, partial or crossed");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    return hawthornstall::tools::run_from_flags();
}
