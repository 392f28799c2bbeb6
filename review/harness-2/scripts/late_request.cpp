/// A front end that gets SIGTERM accepts requests that it does not answer before it ends.

#include "../deployment.hpp"

#include <mutex>
#include <thread>

namespace {

using namespace review;

constexpr int front_ends = 4;
constexpr int minion_count = 12;
constexpr int leaving = 2; ///< The front end that is stopped.
constexpr int callers = 8;
constexpr int run_ms = 2'400;
constexpr int deadline_ms = 6'000;
constexpr int sent_after_ms = 3'500; ///< After the SIGTERM.

/// Opens a connection with a short job, and posts a longer one on it at `send_at`. Notes a
/// violation if that one was passed on to a minion and the connection ends without an answer.
void call(const std::string& address, std::int64_t send_at, record& log, std::mutex& mutex,
          verdict& violation) {
    constexpr int short_run_ms = 30;
    http_connection connection{address, 2 * deadline_ms};
    const auto first = connection.exchange("POST", "/jobs/" + make_job_id(),
                                           make_job(1, short_run_ms), caller_headers(deadline_ms));
    log.write("a caller's first job is answered " + std::to_string(first.status));
    sleep_ms(send_at - steady_ms());
    const auto id = make_job_id();
    const auto sent = steady_ms();
    log.write("caller sends job " + id + " to entry-" + std::to_string(leaving));
    const auto answer = connection.exchange("POST", "/jobs/" + id, make_job(1, run_ms),
                                            caller_headers(deadline_ms));
    const auto waited = steady_ms() - sent;
    log.write("caller of job " + id +
              (answer.status == 0 ? " gets no answer, the connection has ended"
                                  : " is answered " + std::to_string(answer.status)) +
              " after " + std::to_string(waited) + " ms");
    if (answer.status == 0 && waited < deadline_ms && log.has_started(id)) {
        const std::lock_guard lock{mutex};
        violation = "LOST: job " + id + " was passed on to a minion, and its connection ended " +
                    "without an answer";
    }
}

verdict script(const arguments& given, record& log) {
    deployment system{given.programs, front_ends, log};
    system.put_configuration(
        make_configuration(1, {{.path_prefix = "/jobs/", .timeout_ms = deadline_ms}}));
    system.add_minions(minion_count, {"a", "r1"});
    system.wait_until_served("/jobs/");
    constexpr int calm_ms = 4'000;
    sleep_ms(calm_ms);

    constexpr int opening_ms = 500;
    std::mutex mutex;
    verdict violation;
    std::vector<std::thread> threads;
    threads.reserve(callers);
    const auto stopped_at = steady_ms() + opening_ms;
    for (int caller = 0; caller < callers; ++caller) {
        threads.emplace_back([&] {
            call(system.front_end_address(leaving), stopped_at + sent_after_ms, log, mutex,
                 violation);
        });
    }
    sleep_ms(stopped_at - steady_ms());
    if (given.trouble) {
        system.signal_front_end(leaving, SIGTERM);
    }
    for (auto& thread : threads) {
        thread.join();
    }
    return violation;
}

} // namespace

int main(int argc, char** argv) {
    return run_script(argc, argv, script);
}
