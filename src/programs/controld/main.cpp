/// hawthornstall-controld: daemon that runs one control host until SIGTERM or SIGINT.

#include "hawthornstall/control/control_event_log.hpp"
#include "hawthornstall/control/control_logic.hpp"
#include "hawthornstall/core/error.hpp"
#include "hawthornstall/monitoring/program_monitor.hpp"
#include "hawthornstall/runtime/failure_handler.hpp"
#include "hawthornstall/runtime/loop_task.hpp"
#include "hawthornstall/runtime/signal_wait.hpp"
#include "hawthornstall/settings/control_settings.hpp"

#include <gflags/gflags.h>

#include <cstdlib>
#include <exception>
#include <iostream>

DEFINE_string(settings, "", "path of the JSON settings file");
DEFINE_bool(check_settings, false, "check the settings file and exit");

namespace {

namespace control = hawthornstall::control;
namespace core = hawthornstall::core;
namespace net = hawthornstall::net;
namespace settings = hawthornstall::settings;
namespace telemetry = hawthornstall::telemetry;

net::peer_endpoint to_endpoint(const settings::host_entry& host) {
    return {.name = host.name, .address = settings::to_string(host.peer_address)};
}

control::control_options make_options(const settings::control_settings& settings) {
    control::control_options options;
    options.self = {.name = settings.name,
                    .incarnation =
                        static_cast<std::uint64_t>(core::to_count(core::ms_clock::wall_now())),
                    .listen_address = settings::to_string(settings.peer_address)};
    for (const auto& voter : settings.voters) {
        options.consensus.hosts.push_back(voter.name);
        if (voter.name != settings.name) {
            options.control_hosts.push_back(to_endpoint(voter));
        }
    }
    for (const auto& host : settings.entry_hosts) {
        options.entry_hosts.push_back(to_endpoint(host));
    }
    options.data_folder = settings.data_folder;
    return options;
}

int run(const settings::control_settings& settings) {
    hawthornstall::monitoring::program_monitor monitor{
        telemetry::standard_error(), settings.level, "control",
        settings::to_string(settings.metrics_address)};
    const auto inbox = hawthornstall::runtime::make_mailbox<control::control_logic::message>(1);
    hawthornstall::runtime::loop_task<control::control_logic> task{
        inbox, make_options(settings),
        monitor.observer<control::control_event_log, control::control_event>()};
    monitor.log().write({.name = "control_host_started", .peer = settings.name});
    hawthornstall::runtime::wait_for_termination_signal();
    task.stop();
    monitor.log().write({.name = "shutdown_finished", .peer = settings.name});
    return EXIT_SUCCESS;
}

} // namespace

int main(int argc, char** argv) {
    hawthornstall::runtime::install_failure_handler(argv[0]);
    gflags::SetUsageMessage(
        "serves one control host; usage: hawthornstall-controld --settings FILE");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    try {
        const auto loaded = settings::load_control_settings(FLAGS_settings);
        if (!loaded.ok()) {
            std::cerr << core::describe(loaded.status()) << '\n';
            return 2;
        }
        if (FLAGS_check_settings) {
            std::cout << "settings are valid\n";
            return EXIT_SUCCESS;
        }
        hawthornstall::runtime::block_termination_signals();
        return run(*loaded);
    } catch (const std::exception& error) {
        std::cerr << "hawthornstall-controld: " << error.what() << '\n';
        return EXIT_FAILURE;
    }
}
