/// One control machine loses its disk in the first second of the system's first start.

#include "../deployment.hpp"

namespace {

using namespace review;

constexpr int front_ends = 4;
constexpr int minion_count = 6;
constexpr int lost = 1; ///< The control machine that loses its disk.
constexpr int lost_after_ms = 600;
constexpr int away_ms = 1'000;

/// Bound of the pages: service is back this long after all machines are back.
constexpr int recovery_ms = 12'000;

/// Time after `recovery_ms` in which a request has to be served.
constexpr int observed_ms = 60'000;

constexpr int status_ok = 200;

/// Sends the first configuration to one control machine after the other, and a job to each front
/// end, until a job is served.
bool is_served(const deployment& system, record& log, std::int64_t until) {
    constexpr int call_timeout_ms = 1'000;
    constexpr int pause_ms = 500;
    constexpr int run_ms = 30;
    constexpr int deadline_ms = 1'500;
    const auto configuration = make_configuration(1, {{.path_prefix = "/jobs/"}});
    while (steady_ms() < until) {
        for (int number = 1; number <= deployment::control_count; ++number) {
            const auto answer =
                exchange_once(system.operator_address(number), "POST", "/api/configuration/put",
                              configuration, {}, call_timeout_ms);
            log.write("the first configuration is answered " + std::to_string(answer.status) +
                      " by control-" + std::to_string(number));
        }
        for (int number = 1; number <= front_ends; ++number) {
            const auto answer =
                exchange_once(system.front_end_address(number), "POST", "/jobs/" + make_job_id(),
                              make_job(1, run_ms), caller_headers(deadline_ms), 2 * deadline_ms);
            log.write("a job is answered " + std::to_string(answer.status) + " by entry-" +
                      std::to_string(number));
            if (answer.status == status_ok) {
                return true;
            }
        }
        sleep_ms(pause_ms);
    }
    return false;
}

verdict script(const arguments& given, record& log) {
    deployment system{given.programs, front_ends, log};
    system.add_minions(minion_count, {"a", "r1"});
    sleep_ms(lost_after_ms);
    if (given.trouble) {
        system.kill_control(lost);
        sleep_ms(away_ms);
        system.start_control_with_empty_disk(lost);
    }
    if (is_served(system, log, steady_ms() + recovery_ms + observed_ms)) {
        return {};
    }
    return "Fault: no request is served, " + std::to_string(recovery_ms + observed_ms) +
           " ms after all machines are back";
}

} // namespace

int main(int argc, char** argv) {
    return run_script(argc, argv, script);
}
