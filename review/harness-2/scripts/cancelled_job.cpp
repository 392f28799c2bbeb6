/// A client cancels a job that waits for its end.

#include "../deployment.hpp"

#include <thread>

namespace {

using namespace review;

constexpr int front_ends = 4;
constexpr int minion_count = 12;
constexpr int run_ms = 900;
constexpr int deadline_ms = 15'000;
constexpr int step_count = 8;
constexpr int cancelled_after_ms = 1'500;

/// Bounds of the pages.
constexpr int cancel_ms = 3'000;
constexpr int stop_timeout_ms = 50;

constexpr int status_gone = 410;

/// A job of some steps, one after the other.
std::string make_long_job() {
    nlohmann::json steps = nlohmann::json::array();
    for (int number = 0; number < step_count; ++number) {
        nlohmann::json step{
            {"count", 2}, {"cpu", 27'000}, {"requested_memory_mb", 64}, {"estimated_ms", run_ms}};
        if (number > 0) {
            step["after"] = {number - 1};
        }
        steps.push_back(step);
    }
    return nlohmann::json{
        {"specification", std::to_string(run_ms) + " ms"}, {"best_effort", true}, {"steps", steps}}
        .dump();
}

verdict script(const arguments& given, record& log) {
    deployment system{given.programs, front_ends, log};
    system.put_configuration(
        make_configuration(1, {{.path_prefix = "/jobs/", .timeout_ms = deadline_ms}}));
    system.add_minions(minion_count, {"a", "r1"});
    system.wait_until_served("/jobs/");
    constexpr int calm_ms = 4'000;
    sleep_ms(calm_ms);

    const auto id = make_job_id();
    std::thread caller{[&] {
        log.write("client sends job " + id + " to entry-1");
        const auto answer =
            exchange_once(system.front_end_address(1), "POST", "/jobs/" + id, make_long_job(),
                          caller_headers(deadline_ms), 2 * deadline_ms);
        log.write("job " + id + " is answered " + std::to_string(answer.status) + ' ' +
                  answer.body);
    }};
    sleep_ms(cancelled_after_ms);
    std::int64_t cancelled_at = 0;
    if (given.trouble) {
        const auto answer = exchange_once(system.front_end_address(1), "DELETE", "/jobs/" + id, {},
                                          caller_headers(deadline_ms), deadline_ms);
        log.write("DELETE of job " + id + " is answered " + std::to_string(answer.status) + ' ' +
                  answer.body);
        const bool is_success = answer.status >= 200 && answer.status < 300;
        cancelled_at = is_success || answer.status == status_gone ? steady_ms() : 0;
    }
    caller.join();
    verdict violation;
    for (const auto& start : log.starts()) {
        const auto late_by = start.at - cancelled_at;
        if (cancelled_at != 0 && start.task.starts_with(id + '.') &&
            late_by > cancel_ms + stop_timeout_ms) {
            violation = "UNASKED: task " + start.task + " was started " + std::to_string(late_by) +
                        " ms after the cancelling of its job was acknowledged";
        }
    }
    return violation;
}

} // namespace

int main(int argc, char** argv) {
    return run_script(argc, argv, script);
}
