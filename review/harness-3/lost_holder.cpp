/// A minion leaves a start unanswered and is cut off, and the front end that has sent the start is
/// killed; the scheduler lives on. The minion carries the order out behind the cut.

#include "../harness-2/deployment.hpp"
#include "late_minion.hpp"

#include <algorithm>

namespace {

using namespace review;

constexpr int front_ends = 3; ///< One in each zone, which holds the minions there.
constexpr int minion_count = 9;

constexpr int deadline_ms = 8'000;
constexpr int run_ms = 3'000;

/// Time after which a client without a result sends its job again, `resend_ms` of the pages.
constexpr int resend_ms = 1'300;

/// How late the order is carried out. The minion is cut off as soon as it has got it; the front end
/// is killed this long after that, and the cut ends.
constexpr int late_by_ms = 2'500;
constexpr int killed_after_ms = 400;
constexpr int cut_ms = 5'000;

std::string make_long_job() {
    return nlohmann::json{
        {"specification", std::to_string(run_ms) + " ms"},
        {"best_effort", true},
        {"steps",
         {{{"count", 1}, {"cpu", 27'000}, {"requested_memory_mb", 64}, {"estimated_ms", run_ms}}}}}
        .dump();
}

/// Sends the job to the front end `first`, and after an end without a result to another one.
void run_client(const deployment& system, const std::string& id, int first, record& log) {
    constexpr int attempts = 2;
    constexpr int status_bad_gateway = 502;
    int front_end = first;
    for (int attempt = 0; attempt < attempts; ++attempt) {
        log.write("client sends job " + id + " to entry-" + std::to_string(front_end));
        const auto answer =
            exchange_once(system.front_end_address(front_end), "POST", "/jobs/" + id,
                          make_long_job(), caller_headers(deadline_ms), 2 * deadline_ms);
        log.write("job " + id + " is answered " + std::to_string(answer.status) + ' ' +
                  answer.body);
        if (answer.status != 0 && answer.status != status_bad_gateway) {
            return;
        }
        sleep_ms(resend_ms);
        front_end = front_end % front_ends + 1;
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
                const auto both = std::min(end, second.ended == 0 ? end : second.ended);
                return "TWICE: task " + first.task + " runs on " + first.minion + " and on " +
                       second.minion + " at the same time, for " +
                       std::to_string(both - second.at) + " ms";
            }
        }
    }
    return {};
}

std::vector<std::unique_ptr<review3::late_minion>> start_minions(const deployment& system,
                                                                 record& log) {
    // The minions have the network of the control machines, whose addresses end in ".1.N".
    const auto operators = system.operator_address(1);
    const auto network = operators.substr(0, operators.find(".1.1:"));
    constexpr int ports_between = 3;
    const auto port = std::stoi(operators.substr(operators.rfind(':') + 1)) + ports_between;
    std::vector<std::string> control;
    for (int number = 1; number <= deployment::control_count; ++number) {
        control.push_back(system.operator_address(number));
    }
    std::vector<std::unique_ptr<review3::late_minion>> minions;
    for (int number = 1; number <= minion_count; ++number) {
        minions.push_back(std::make_unique<review3::late_minion>(
            review3::minion_settings{.id = "m-" + std::to_string(number),
                                     .address = network + ".3." + std::to_string(number) + ':' +
                                                std::to_string(port),
                                     .zone = deployment::zone_of(number),
                                     .service = service_name,
                                     .control = control},
            log));
    }
    return minions;
}

std::uint64_t count_calls(const std::vector<std::unique_ptr<review3::late_minion>>& minions) {
    std::uint64_t calls = 0;
    for (const auto& item : minions) {
        calls += item->calls();
    }
    return calls;
}

/// Waits until a minion has left the order unanswered, and returns it.
review3::late_minion& wait_for_delay(std::vector<std::unique_ptr<review3::late_minion>>& minions) {
    constexpr int limit_ms = 2'000;
    for (const auto end = steady_ms() + limit_ms; steady_ms() < end; sleep_ms(1)) {
        const auto found =
            std::ranges::find_if(minions, [](const auto& item) { return item->has_delayed(); });
        if (found != minions.end()) {
            return **found;
        }
    }
    throw std::runtime_error{"no minion got the start"};
}

verdict script(const arguments& given, record& log) {
    deployment system{given.programs, front_ends, log};
    system.put_configuration(
        make_configuration(1, {{.path_prefix = "/jobs/", .timeout_ms = deadline_ms}}));
    auto minions = start_minions(system, log);
    system.wait_until_served("/jobs/");
    constexpr int calm_ms = 4'000;
    sleep_ms(calm_ms);

    const auto id = make_job_id();
    const auto scheduler = system.scheduler();
    if (scheduler == 0) {
        throw std::runtime_error{"it is not known which front end schedules"};
    }
    log.write("entry-" + std::to_string(scheduler) + " schedules");
    // A front end prefers its own minions, so that it is the holder of the one that gets the task.
    const auto front_end = scheduler % front_ends + 1;
    if (given.trouble) {
        for (const auto& item : minions) {
            item->delay_first_start(id, late_by_ms);
        }
    }
    const auto calls_before = count_calls(minions);
    std::thread client{[&] {
        run_client(system, id, front_end, log);
    }};
    if (given.trouble) {
        auto& disturbed = wait_for_delay(minions);
        disturbed.set_cut_off(true);
        for (const auto& item : minions) {
            item->delay_first_start({}, 0);
        }
        sleep_ms(killed_after_ms);
        system.kill_front_end(front_end);
        sleep_ms(cut_ms - killed_after_ms);
        disturbed.set_cut_off(false);
        log.write("one order is carried out late, of the " +
                  std::to_string(count_calls(minions) - calls_before) +
                  " that the minions have got since the job was sent");
    }
    client.join();
    return find_overlap(id, log);
}

} // namespace

int main(int argc, char** argv) {
    return run_script(argc, argv, script);
}
