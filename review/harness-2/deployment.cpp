#include "deployment.hpp"

#include <arpa/inet.h>
#include <array>
#include <chrono>
#include <exception>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <netinet/in.h>
#include <random>
#include <stdexcept>
#include <string_view>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>
#include <utility>

namespace review {
namespace {

using nlohmann::json;

constexpr int zone_count = 3;
constexpr int status_ok = 200;
constexpr int call_timeout_ms = 1'000;
constexpr int start_limit_ms = 30'000;
constexpr int retry_ms = 100;

/// Kinds of machine, the third number of their addresses.
constexpr int control_kind = 1;
constexpr int front_end_kind = 2;
constexpr int minion_kind = 3;

/// Ports of each machine, counted from the first one of the deployment.
constexpr int control_peer_port = 0;
constexpr int entry_peer_port = 1;
constexpr int operator_port = 2;
constexpr int caller_port = 3;
constexpr int readiness_port = 4;
constexpr int minion_port = 5;
constexpr int metrics_port = 6;

std::mt19937_64& random_source() {
    static std::mt19937_64 source{std::random_device{}()};
    return source;
}

int random_between(int first, int last) {
    return std::uniform_int_distribution<int>{first, last}(random_source());
}

bool is_free(const std::string& ip, int port) {
    const socket_handle probe{socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)};
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    const auto* const generic =
        reinterpret_cast<const sockaddr*>(&address); // NOLINT: interface of the socket API
    return bind(probe.get(), generic, sizeof address) == 0;
}

/// Runs `program` with the settings at `settings` in a new process.
pid_t start_process(const std::string& program, const std::string& settings,
                    const std::string& output) {
    const pid_t id = fork();
    if (id != 0) {
        return id;
    }
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    constexpr int output_mode = 0640;
    const int file = open(output.c_str(), O_WRONLY | O_CREAT | O_APPEND, output_mode);
    dup2(file, STDOUT_FILENO);
    dup2(file, STDERR_FILENO);
    execl(program.c_str(), program.c_str(), "--settings", settings.c_str(), nullptr);
    constexpr int not_found = 127;
    _exit(not_found);
}

} // namespace

void sleep_ms(std::int64_t time) {
    std::this_thread::sleep_for(std::chrono::milliseconds{time});
}

std::string make_configuration(std::uint64_t version, const std::vector<route>& routes) {
    json body{{"version", version}, {"routes", json::array()}};
    for (const auto& item : routes) {
        body["routes"].push_back({{"name", "r" + item.path_prefix},
                                  {"host", route_host},
                                  {"path_prefix", item.path_prefix},
                                  {"kind", "unsafe"},
                                  {"timeout_ms", item.timeout_ms},
                                  {"target_latency_ms", 60},
                                  {"priority", 0},
                                  {"service", service_name},
                                  {"retry_attempts", 4},
                                  {"stretch", 1.6}});
    }
    body["services"] = {{{"name", service_name},
                         {"health_path", "/health"},
                         {"max_connections", 64},
                         {"protocol", "h1"},
                         {"tls", false},
                         {"enforces_capacity", false},
                         {"spare", false}}};
    body["limits"] = {{"max_header_bytes", 16'384},
                      {"max_body_bytes", 262'144},
                      {"header_timeout_ms", 3'000},
                      {"idle_timeout_ms", 15'000}};
    return body.dump();
}

std::string make_job(int count, int run_ms, const std::string& requirements) {
    json step{
        {"count", count}, {"cpu", 27'000}, {"requested_memory_mb", 64}, {"estimated_ms", run_ms}};
    if (!requirements.empty()) {
        step["requirements"] = requirements;
    }
    return json{{"specification", std::to_string(run_ms) + " ms"},
                {"best_effort", true},
                {"steps", json::array({step})}}
        .dump();
}

std::string make_job_id() {
    constexpr std::string_view digits = "0123456789abcdef";
    constexpr std::size_t length = 16;
    std::string id;
    while (id.size() < length) {
        id += digits[static_cast<std::size_t>(
            random_between(0, static_cast<int>(digits.size()) - 1))];
    }
    return id;
}

std::map<std::string, std::string> caller_headers(int deadline_ms) {
    return {{"Host", route_host}, {"X-Deadline-Milliseconds", std::to_string(deadline_ms)}};
}

std::string deployment::zone_of(int number) {
    return "zone-" + std::to_string(number % zone_count);
}

deployment::deployment(std::string programs, int front_ends, record& log)
    : programs_(std::move(programs)), front_ends_(front_ends), log_(&log) {
    std::string pattern = std::filesystem::temp_directory_path() / "hawthornstall-review-XXXXXX";
    if (mkdtemp(pattern.data()) == nullptr) {
        throw std::runtime_error{"no temporary folder"};
    }
    folder_ = pattern;
    constexpr int first_network = 64;
    constexpr int last_network = 250;
    constexpr int lowest_port = 20'000;
    constexpr int highest_port = 30'000;
    network_ = random_between(first_network, last_network);
    first_port_ = random_between(lowest_port, highest_port);
    for (int port = control_peer_port; port <= metrics_port; ++port) {
        if (!is_free(ip(control_kind, 1), first_port_ + port)) {
            throw std::runtime_error{"a port is taken"};
        }
    }
    for (int number = 1; number <= control_count; ++number) {
        std::filesystem::create_directory(folder_ + "/data-" + std::to_string(number));
        write_control_settings(number, true);
        start("control-" + std::to_string(number));
    }
    for (int number = 1; number <= front_ends_; ++number) {
        write_front_end_settings(number);
        start("entry-" + std::to_string(number));
    }
}

deployment::~deployment() {
    minions_.clear();
    for (const auto& [name, item] : processes_) {
        kill(item.id, SIGKILL);
        waitpid(item.id, nullptr, 0);
    }
    std::error_code ignored;
    std::filesystem::remove_all(folder_, ignored);
}

std::string deployment::ip(int kind, int number) const {
    return "127." + std::to_string(network_) + '.' + std::to_string(kind) + '.' +
           std::to_string(number);
}

std::string deployment::operator_address(int number) const {
    return ip(control_kind, number) + ':' + std::to_string(first_port_ + operator_port);
}

std::string deployment::front_end_address(int number) const {
    return ip(front_end_kind, number) + ':' + std::to_string(first_port_ + caller_port);
}

std::vector<std::string> deployment::operator_addresses() const {
    std::vector<std::string> addresses;
    for (int number = 1; number <= control_count; ++number) {
        addresses.push_back(operator_address(number));
    }
    return addresses;
}

void deployment::write_control_settings(int number, bool bootstrap) const {
    const auto name = "control-" + std::to_string(number);
    const auto address = ip(control_kind, number);
    const json settings{
        {"name", name},
        {"zone", zone_of(number)},
        {"ip", address},
        {"cpu_share", 0.5},
        {"control_peer_port", first_port_ + control_peer_port},
        {"entry_peer_port", first_port_ + entry_peer_port},
        {"seeds", operator_addresses()},
        {"may_found", bootstrap},
        {"operator_address", operator_address(number)},
        {"data_folder", folder_ + "/data-" + std::to_string(number)},
        {"metrics_address", address + ':' + std::to_string(first_port_ + metrics_port)},
        {"shutdown_grace_s", 6.0}};
    std::ofstream{folder_ + '/' + name + ".json"} << settings.dump(1);
}

void deployment::write_front_end_settings(int number) const {
    const auto name = "entry-" + std::to_string(number);
    const auto address = ip(front_end_kind, number);
    const json settings{
        {"name", name},
        {"zone", zone_of(number)},
        {"ip", address},
        {"cpu_share", 0.25},
        {"control_peer_port", first_port_ + control_peer_port},
        {"entry_peer_port", first_port_ + entry_peer_port},
        {"seeds", operator_addresses()},
        {"caller_address", front_end_address(number)},
        {"readiness_address", address + ':' + std::to_string(first_port_ + readiness_port)},
        {"longest_lease_ms", 1'000},
        {"stop_time_ms", 50},
        {"resubmission_delay_ms", 1'300},
        {"metrics_address", address + ':' + std::to_string(first_port_ + metrics_port)},
        {"shutdown_grace_s", 6.0}};
    std::ofstream{folder_ + '/' + name + ".json"} << settings.dump(1);
}

void deployment::start(const std::string& name) {
    const auto role = name.substr(0, name.find('-'));
    const auto program = programs_ + "/hawthornstall-platform-" + role;
    if (access(program.c_str(), X_OK) != 0) {
        throw std::runtime_error{"there is no program " + program};
    }
    const auto id =
        start_process(program, folder_ + '/' + name + ".json", folder_ + '/' + name + ".log");
    processes_[name] = {.id = id, .program = program};
    log_->write("started " + name);
}

bool deployment::has_ended(const std::string& name) {
    auto& item = processes_.at(name);
    int status = 0;
    if (waitpid(item.id, &status, WNOHANG) != item.id) {
        return false;
    }
    log_->write(name + " has ended " +
                (WIFSIGNALED(status) ? "by signal " + std::to_string(WTERMSIG(status))
                                     : "with code " + std::to_string(WEXITSTATUS(status))));
    processes_.erase(name);
    return true;
}

void deployment::signal_front_end(int number, int signal) {
    const auto name = "entry-" + std::to_string(number);
    log_->write("signal " + std::to_string(signal) + " to " + name);
    kill(processes_.at(name).id, signal);
}

int deployment::scheduler() const {
    int found = 0;
    for (int number = 1; number <= front_ends_; ++number) {
        std::ifstream log{folder_ + "/entry-" + std::to_string(number) + ".log"};
        for (std::string line; std::getline(log, line);) {
            const auto entry = json::parse(line, nullptr, false);
            if (!entry.is_object() || entry.value("event", "") != "scheduler_chosen") {
                continue;
            }
            const auto peer = entry.value("peer", "");
            for (int other = 1; other <= front_ends_; ++other) {
                found = peer.starts_with(ip(front_end_kind, other) + ':') ? other : found;
            }
        }
    }
    return found;
}

void deployment::kill_front_end(int number) {
    kill_process("entry-" + std::to_string(number));
}

void deployment::kill_control(int number) {
    kill_process("control-" + std::to_string(number));
}

void deployment::kill_process(const std::string& name) {
    const auto id = processes_.at(name).id;
    kill(id, SIGKILL);
    waitpid(id, nullptr, 0);
    processes_.erase(name);
    log_->write("killed " + name);
}

void deployment::start_control_with_empty_disk(int number) {
    const auto data = folder_ + "/data-" + std::to_string(number);
    std::filesystem::remove_all(data);
    std::filesystem::create_directory(data);
    write_control_settings(number, false);
    start("control-" + std::to_string(number));
}

void deployment::add_minions(int count, const std::vector<std::string>& labels) {
    for (int index = 0; index < count; ++index) {
        const auto number = static_cast<int>(minions_.size()) + 1;
        auto all_labels = labels;
        all_labels.push_back(zone_of(number));
        minions_.push_back(std::make_unique<minion>(
            minion_settings{.id = "m-" + std::to_string(number),
                            .address = ip(minion_kind, number) + ':' +
                                       std::to_string(first_port_ + minion_port),
                            .zone = zone_of(number),
                            .service = service_name,
                            .labels = std::move(all_labels),
                            .control = operator_addresses()},
            *log_));
    }
}

void deployment::put_configuration(const std::string& body, int limit_ms) {
    const auto end = steady_ms() + limit_ms;
    for (int number = 1; steady_ms() < end; number = number % control_count + 1) {
        const auto answer = exchange_once(operator_address(number), "POST",
                                          "/api/configuration/put", body, {}, call_timeout_ms);
        if (answer.status == status_ok) {
            return;
        }
        sleep_ms(retry_ms);
    }
    throw std::runtime_error{"no control machine acknowledged a configuration"};
}

void deployment::wait_until_served(const std::string& path_prefix) {
    const auto end = steady_ms() + start_limit_ms;
    for (int number = 1; number <= front_ends_; ++number) {
        int status = 0;
        while (status != status_ok) {
            if (steady_ms() > end) {
                throw std::runtime_error{"a front end serves no job"};
            }
            constexpr int run_ms = 30;
            constexpr int deadline_ms = 1'500;
            status =
                exchange_once(front_end_address(number), "POST", path_prefix + make_job_id(),
                              make_job(1, run_ms), caller_headers(deadline_ms), 2 * deadline_ms)
                    .status;
            sleep_ms(retry_ms);
        }
    }
    log_->write("all front ends serve");
}

int run_script(int argc, char** argv, verdict (*script)(const arguments&, record&)) {
    constexpr int held = 0;
    constexpr int broken = 1;
    constexpr int could_not_run = 2;
    constexpr int argument_count = 3;
    if (argc != argument_count + 1) {
        std::cerr << "usage: " << argv[0] << " PROGRAM_FOLDER RECORD TROUBLE\n";
        return could_not_run;
    }
    try {
        const arguments given{
            .programs = argv[1], .record_path = argv[2], .trouble = std::string{argv[3]} != "0"};
        record log{given.record_path};
        const auto violation = script(given, log);
        const auto line = violation.empty() ? "the rule held" : "BROKEN: " + violation;
        log.write(line);
        std::cout << line << std::endl;
        return violation.empty() ? held : broken;
    } catch (const std::exception& error) {
        std::cerr << "the script could not run: " << error.what() << std::endl;
        return could_not_run;
    }
}

} // namespace review
