#pragma once

/// A small deployment on loopback: three control machines, some front ends and stand-in minions.

#include "http.hpp"
#include "minion.hpp"
#include "record.hpp"

#include <csignal>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <sys/types.h>
#include <vector>

namespace review {

/// A route of a configuration.
struct route {
    std::string path_prefix{};
    int timeout_ms = 1'500;
};

/// The host of all routes of a script.
inline constexpr const char* route_host = "stall.example";

/// The service of all minions of a script.
inline constexpr const char* service_name = "benchline";

/// A configuration in the form of the pages.
[[nodiscard]] std::string make_configuration(std::uint64_t version,
                                             const std::vector<route>& routes);

/// The body of a job of one step that needs not be stored. `requirements` may be empty.
[[nodiscard]] std::string make_job(int count, int run_ms, const std::string& requirements = {});

/// A job id of 16 hexadecimal digits.
[[nodiscard]] std::string make_job_id();

/// Headers of a request to a front end of a caller that waits for `deadline_ms`.
[[nodiscard]] std::map<std::string, std::string> caller_headers(int deadline_ms);

/// Starts the project's own programs, each with the settings that the deploy file's templates give
/// it, and ends them when it is destroyed.
class deployment {
public:
    /// `programs` is the folder of the deploy file's programs. Throws when an address is taken.
    deployment(std::string programs, int front_ends, record& log);
    ~deployment();
    deployment(const deployment&) = delete;
    deployment& operator=(const deployment&) = delete;
    deployment(deployment&&) = delete;
    deployment& operator=(deployment&&) = delete;

    /// Adds `count` stand-in minions, spread over the zones. Each has the labels and its zone as
    /// one.
    void add_minions(int count, const std::vector<std::string>& labels);

    /// Name of the zone of the machine or minion with that number.
    [[nodiscard]] static std::string zone_of(int number);
    [[nodiscard]] std::vector<std::unique_ptr<minion>>& minions() noexcept { return minions_; }

    /// Sends a configuration to one control machine after the other until one acknowledges it.
    /// Throws when none does within `limit_ms`.
    void put_configuration(const std::string& body, int limit_ms = 20'000);

    /// Waits until all front ends are ready and a job on `path_prefix` has been served by each.
    void wait_until_served(const std::string& path_prefix);

    /// The front end that schedules all jobs, from the logs of the programs; 0 if it is not known.
    [[nodiscard]] int scheduler() const;

    void signal_front_end(int number, int signal);
    void kill_front_end(int number);
    void kill_control(int number);
    /// Starts a control machine again, with an empty disk.
    void start_control_with_empty_disk(int number);
    /// Whether a process has ended, which is then noted in the record.
    [[nodiscard]] bool has_ended(const std::string& name);

    [[nodiscard]] std::string front_end_address(int number) const;
    [[nodiscard]] std::string operator_address(int number) const;

    static constexpr int control_count = 3;

private:
    struct process {
        pid_t id = -1;
        std::string program{};
    };

    void start(const std::string& name);
    void kill_process(const std::string& name);
    void write_control_settings(int number, bool bootstrap) const;
    void write_front_end_settings(int number) const;
    [[nodiscard]] std::string ip(int kind, int number) const;
    [[nodiscard]] std::vector<std::string> operator_addresses() const;

    std::string programs_;
    int front_ends_;
    record* log_;
    std::string folder_;
    int network_ = 0;
    int first_port_ = 0;
    std::map<std::string, process> processes_;
    std::vector<std::unique_ptr<minion>> minions_;
};

/// Arguments of a script's program: the folder of the programs, the path of the record, and whether
/// the disruption takes place.
struct arguments {
    std::string programs{};
    std::string record_path{};
    bool trouble = true;
};

/// What a script has found: the violation, or an empty text when the rule held.
using verdict = std::string;

/// Runs a script and returns its exit status: 1 if the rule was broken, 0 if it held, 2 if the
/// script could not run.
[[nodiscard]] int run_script(int argc, char** argv, verdict (*script)(const arguments&, record&));

void sleep_ms(std::int64_t time);

} // namespace review
