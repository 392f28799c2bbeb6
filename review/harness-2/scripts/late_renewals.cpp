/// A minion carries out renewals of its lease and claims of a new holder late, while the front end
/// that holds it and schedules all jobs is killed.

#include "../deployment.hpp"

#include <algorithm>

namespace {

using namespace review;

constexpr int front_ends = 3; ///< One in each zone, which holds the minions there.
constexpr int minion_count = 32;

/// The job: its client's deadline, the run time that it declares and the one that it has.
constexpr int deadline_ms = 1'500;
constexpr int declared_ms = 900;
constexpr int run_ms = 5'000;

/// Time after which a client without a result sends its job again, `resend_ms` of the pages.
constexpr int resend_ms = 1'300;

/// Times after the start of the task.
constexpr int first_late_call_ms = 0;
constexpr int second_late_call_ms = 600;
constexpr int late_claims = 4;
constexpr int late_by_ms = 2'050;
constexpr int killed_at_ms = 1'480;

/// The calls to all minions are counted for this long, to compare the late ones with them.
constexpr int counted_ms = 4'000;

std::string make_long_job(const std::string& zone) {
    return nlohmann::json{{"specification", std::to_string(run_ms) + " ms"},
                          {"best_effort", true},
                          {"steps",
                           {{{"count", 1},
                             {"cpu", 27'000},
                             {"requested_memory_mb", 64},
                             {"estimated_ms", declared_ms},
                             {"requirements", zone}}}}}
        .dump();
}

/// Sends the job, and again `resend_ms` after each end without a result, to another front end.
void run_client(const deployment& system, const std::string& id, int scheduler, record& log) {
    constexpr int attempts = 2;
    constexpr int status_bad_gateway = 502;
    int front_end = scheduler;
    for (int attempt = 0; attempt < attempts; ++attempt) {
        front_end = front_end % front_ends + 1;
        log.write("client sends job " + id + " to entry-" + std::to_string(front_end));
        const auto answer =
            exchange_once(system.front_end_address(front_end), "POST", "/jobs/" + id,
                          make_long_job(deployment::zone_of(scheduler)),
                          caller_headers(deadline_ms), 2 * deadline_ms);
        log.write("job " + id + " is answered " + std::to_string(answer.status) + ' ' +
                  answer.body);
        if (answer.status != 0 && answer.status != status_bad_gateway) {
            return;
        }
        sleep_ms(resend_ms);
    }
}

/// The violation if two runs of a task of the job were there at the same time.
verdict find_overlap(const std::string& id, record& log) {
    const auto starts = log.starts();
    for (const auto& first : starts) {
        for (const auto& second : starts) {
            const bool is_pair = first.task == second.task && first.task.starts_with(id + '.') &&
                                 first.minion != second.minion && first.at < second.at;
            if (is_pair && (first.ended == 0 || first.ended > second.at)) {
                const auto end = first.ended == 0 ? steady_ms() : first.ended;
                return "TWICE: task " + first.task + " runs on " + first.minion + " and on " +
                       second.minion + " at the same time, for " + std::to_string(end - second.at) +
                       " ms at least";
            }
        }
    }
    return {};
}

std::uint64_t count_calls(deployment& system) {
    std::uint64_t calls = 0;
    for (const auto& item : system.minions()) {
        calls += item->calls();
    }
    return calls;
}

verdict script(const arguments& given, record& log) {
    deployment system{given.programs, front_ends, log};
    system.put_configuration(make_configuration(1, {{.path_prefix = "/jobs/"}}));
    system.add_minions(minion_count, {"a", "r1"});
    system.wait_until_served("/jobs/");
    constexpr int calm_ms = 4'000;
    sleep_ms(calm_ms);

    const auto id = make_job_id();
    const auto scheduler = system.scheduler();
    if (scheduler == 0) {
        throw std::runtime_error{"it is not known which front end schedules"};
    }
    log.write("entry-" + std::to_string(scheduler) + " schedules");
    if (given.trouble) {
        for (const auto& item : system.minions()) {
            item->disturb({.job = id,
                           .late_calls_at = {first_late_call_ms, second_late_call_ms},
                           .late_by = late_by_ms,
                           .late_claims = late_claims});
        }
    }
    const auto calls_before = count_calls(system);
    std::thread client{[&] {
        run_client(system, id, scheduler, log);
    }};
    sleep_ms(killed_at_ms);
    if (given.trouble) {
        const auto disturbed = std::ranges::count_if(
            system.minions(), [](const auto& item) { return item->keep_disturbance_if_begun(); });
        log.write(std::to_string(disturbed) + " of " + std::to_string(minion_count) +
                  " minions is disturbed");
        system.kill_front_end(scheduler);
    }
    sleep_ms(counted_ms - killed_at_ms);
    log.write("the minions have got " + std::to_string(count_calls(system) - calls_before) +
              " calls in " + std::to_string(counted_ms) + " ms");
    client.join();
    return find_overlap(id, log);
}

} // namespace

int main(int argc, char** argv) {
    return run_script(argc, argv, script);
}
