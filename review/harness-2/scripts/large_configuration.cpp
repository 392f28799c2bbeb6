/// A control machine comes back with an empty disk after many changes of a large configuration.

#include "../deployment.hpp"

#include <algorithm>

namespace {

using namespace review;

constexpr int front_ends = 2;
constexpr int route_count = 1'500;
constexpr int change_count = 240;
constexpr int wiped = 2;  ///< The control machine that loses its disk.
constexpr int killed = 1; ///< The control machine that is lost later.

/// Time from the return of the first lost machine to the loss of the second one. The pages count a
/// machine as lost for `catch_up_s`, 4 s, after it is back.
constexpr int between_losses_ms = 15'000;

constexpr int status_ok = 200;

std::string make_large_configuration(std::uint64_t version) {
    std::vector<route> routes;
    routes.reserve(route_count);
    for (int number = 0; number < route_count; ++number) {
        routes.push_back({.path_prefix = "/queue-" + std::to_string(number) + '/'});
    }
    // Each change sets another time-out of one route.
    routes.front().timeout_ms += static_cast<int>(version);
    return make_configuration(version, routes);
}

/// Reads the configuration again and again, at the control machines that run. Returns the highest
/// version that was read; 0 when none of them has answered within `limit_ms`.
std::uint64_t read_configuration(const deployment& system, record& log, int limit_ms) {
    constexpr int call_timeout_ms = 1'000;
    constexpr int retry_ms = 200;
    const auto end = steady_ms() + limit_ms;
    std::uint64_t highest = 0;
    while (steady_ms() < end && highest == 0) {
        for (int number = 1; number <= deployment::control_count; ++number) {
            if (number == killed) {
                continue;
            }
            const auto answer = exchange_once(system.operator_address(number), "GET",
                                              "/api/configuration/get", {}, {}, call_timeout_ms);
            log.write("a read at control-" + std::to_string(number) + " is answered " +
                      std::to_string(answer.status));
            if (answer.status == status_ok) {
                const auto body = nlohmann::json::parse(answer.body);
                highest = std::max(highest, body.at("version").get<std::uint64_t>());
            }
        }
        sleep_ms(retry_ms);
    }
    return highest;
}

verdict script(const arguments& given, record& log) {
    deployment system{given.programs, front_ends, log};
    for (std::uint64_t version = 1; version <= change_count; ++version) {
        const auto body = make_large_configuration(version);
        system.put_configuration(body);
        if (version % 20 == 0) {
            log.write("version " + std::to_string(version) + " of " + std::to_string(body.size()) +
                      " bytes is acknowledged");
        }
    }
    constexpr int calm_ms = 4'000;
    sleep_ms(calm_ms);

    if (given.trouble) {
        system.kill_control(wiped);
        constexpr int away_ms = 1'000;
        sleep_ms(away_ms);
        system.start_control_with_empty_disk(wiped);
    }
    sleep_ms(between_losses_ms);
    system.kill_control(killed);
    constexpr int read_limit_ms = 20'000;
    const auto version = read_configuration(system, log, read_limit_ms);
    log.write("the highest version that was read is " + std::to_string(version));
    if (version >= change_count) {
        return {};
    }
    return version == 0
               ? "CONFIG: version " + std::to_string(change_count) +
                     " was acknowledged, and no machine gives the configuration"
               : "CONFIG: version " + std::to_string(change_count) +
                     " was acknowledged, and version " + std::to_string(version) + " is read back";
}

} // namespace

int main(int argc, char** argv) {
    return run_script(argc, argv, script);
}
