/// standin-target: runs stand-ins for minions or workers on loopback, for tests.

#include "common/signal_watch.hpp"
#include "common/split_list.hpp"
#include "hawthornstall/core/error.hpp"
#include "hawthornstall/net/http_client.hpp"
#include "hawthornstall/net/socket_address.hpp"
#include "standin_target/announcer.hpp"
#include "standin_target/standin_target.hpp"

#include <gflags/gflags.h>

#include <array>
#include <iostream>
#include <memory>
#include <string>
#include <vector>

DEFINE_string(listen, "127.0.0.1:0", "ip:port of the server; port 0 chooses a free one");
DEFINE_string(entry, "", "entry hosts to announce to, ip:port separated by commas");
DEFINE_string(name, "standin", "name of the target; with --count a number is appended");
DEFINE_uint32(count, 1, "targets in this process, each on its own port (needs port 0)");
DEFINE_string(zone, "zone", "availability zone");
DEFINE_string(rack, "", "rack");
DEFINE_string(services, "", "services, separated by commas");
DEFINE_uint32(slots, 8, "tasks that may run at once");
DEFINE_uint32(connections, 60, "announced connections");
DEFINE_uint32(cores, 0, "announced cores");
DEFINE_uint32(memory_mb, 0, "announced memory");
DEFINE_uint32(accelerators, 0, "announced accelerators");
DEFINE_uint32(lease_ms, 3000, "announced lease");
DEFINE_uint32(run_time_ms, 100, "run time of tasks whose payload does not start with run_ms=<n>");
DEFINE_double(speed, 1.0, "run times are divided by this");
DEFINE_string(behaviour, "normal", "normal, fail, hang, short_body or straggler");
DEFINE_string(log, "", "file to which starts and ends are appended");
DEFINE_uint32(leave_grace_ms, 3000, "time after leaving during which late work is still taken");
DEFINE_uint32(stop_limit_ms, 10'000, "time after the grace after which open tasks are given up");

namespace hawthornstall::tools {
namespace {

constexpr int exit_failure = 1;
constexpr int exit_usage = 2;

core::target_announcement describe_target(const std::string& name, std::string_view address) {
    return {.name = name,
            .incarnation = static_cast<std::uint64_t>(core::to_count(core::ms_clock::wall_now())),
            .sequence = 0,
            .zone = FLAGS_zone,
            .rack = FLAGS_rack,
            .address = std::string{address},
            .services = split_list(FLAGS_services),
            .capacity = {.slots = FLAGS_slots,
                         .connections = FLAGS_connections,
                         .cores = FLAGS_cores,
                         .memory_mb = FLAGS_memory_mb,
                         .accelerators = FLAGS_accelerators},
            .lease = core::duration_ms{FLAGS_lease_ms},
            .leaving = false};
}

/// A target and the announcer that registers it with the entry hosts.
template <task_behaviour Behaviour> struct announced_target {
    std::unique_ptr<standin_target<Behaviour>> target;
    std::unique_ptr<announcer> target_announcer;
};

/// Runs the targets of this process. The first SIGTERM or SIGINT makes them leave and finish their
/// tasks within the limits of the flags; the second one stops the process at once.
template <task_behaviour Behaviour> class standin_process {
public:
    standin_process() : client_(loop_, {}), signals_(loop_, [this] { leave(); }) {}

    int run() {
        for (std::uint32_t index = 0; index < FLAGS_count; ++index) {
            const auto added =
                add(FLAGS_count == 1 ? FLAGS_name : FLAGS_name + '-' + std::to_string(index));
            if (!added.ok()) {
                std::cerr << core::describe(added) << '\n';
                return exit_failure;
            }
        }
        loop_.run();
        return 0;
    }

private:
    absl::Status add(const std::string& name) {
        auto log = start_log::open(FLAGS_log);
        if (!log.ok()) {
            return log.status();
        }
        const standin_settings settings{.listen = FLAGS_listen,
                                        .slots = FLAGS_slots,
                                        .run_time = core::duration_ms{FLAGS_run_time_ms},
                                        .speed = FLAGS_speed};
        auto target = std::make_unique<standin_target<Behaviour>>(loop_, settings, *std::move(log));
        if (auto started = target->start(); !started.ok()) {
            return started;
        }
        std::cout << name << " listens on " << target->address() << std::endl;
        auto target_announcer = std::make_unique<announcer>(
            loop_, client_, describe_target(name, target->address()), split_list(FLAGS_entry));
        target_announcer->start();
        targets_.push_back({std::move(target), std::move(target_announcer)});
        return absl::OkStatus();
    }

    void leave() {
        if (leaving_) {
            loop_.stop();
            return;
        }
        leaving_ = true;
        for (const auto& item : targets_) {
            item.target_announcer->leave([](bool accepted) {
                if (!accepted) {
                    std::cerr << "no entry host took the leave message\n";
                }
            });
        }
        const core::duration_ms grace{FLAGS_leave_grace_ms};
        close_timer_ = loop_.after(grace, [this] { close(); });
        stop_timer_ =
            loop_.after(grace + core::duration_ms{FLAGS_stop_limit_ms}, [this] { loop_.stop(); });
    }

    void close() {
        open_targets_ = targets_.size();
        for (const auto& item : targets_) {
            item.target->close([this] {
                if (--open_targets_ == 0) {
                    loop_.stop();
                }
            });
        }
    }

    runtime::event_loop loop_;
    net::http_client client_;
    signal_watch signals_;
    std::vector<announced_target<Behaviour>> targets_;
    runtime::event_handle close_timer_;
    runtime::event_handle stop_timer_;
    std::size_t open_targets_ = 0;
    bool leaving_ = false;
};

template <task_behaviour Behaviour> int run_process() {
    return standin_process<Behaviour>{}.run();
}

/// A value of --behaviour and the function that runs targets with it.
struct named_behaviour {
    std::string_view name;
    int (*run)();
};

constexpr std::array behaviours{
    named_behaviour{"normal", run_process<normal_behaviour>},
    named_behaviour{"fail", run_process<failing_behaviour>},
    named_behaviour{"hang", run_process<hanging_behaviour>},
    named_behaviour{"short_body", run_process<short_body_behaviour>},
    named_behaviour{"straggler", run_process<straggling_behaviour>},
};

int run() {
    for (const auto& item : behaviours) {
        if (item.name == FLAGS_behaviour) {
            return item.run();
        }
    }
    std::cerr << "--behaviour: unknown value " << FLAGS_behaviour << '\n';
    return exit_usage;
}

} // namespace
} // namespace hawthornstall::tools

int main(int argc, char** argv) {
    gflags::SetUsageMessage("standin-target [flags]");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    if (!hawthornstall::net::is_loopback(FLAGS_listen) || FLAGS_speed <= 0.0) {
        std::cerr << "--listen takes a loopback address, and --speed a positive number\n";
        return hawthornstall::tools::exit_usage;
    }
    return hawthornstall::tools::run();
}
