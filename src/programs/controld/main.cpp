/// hawthornstall-controld: one control host.

#include "hawthornstall/control_host/control_logic.hpp"
#include "hawthornstall/core/error.hpp"
#include "hawthornstall/runtime/loop_task.hpp"
#include "hawthornstall/runtime/signal_wait.hpp"
#include "hawthornstall/settings/control_settings.hpp"
#include "hawthornstall/telemetry/log_output.hpp"
#include "hawthornstall/telemetry/logger.hpp"

#include <gflags/gflags.h>

#include <csignal>
#include <cstdlib>
#include <exception>
#include <iostream>
#include <unistd.h>
#include <utility>

DEFINE_string(settings, "", "path of the JSON settings file");
DEFINE_bool(check_settings, false, "check the settings file and exit");
DEFINE_bool(create_cluster, false,
            "found a new cluster; give this once, on the first start of the first control host");

namespace {

namespace control_host = hawthornstall::control_host;
namespace telemetry = hawthornstall::telemetry;
using hawthornstall::core::log_level;

int run(const hawthornstall::settings::control_settings& settings) {
    telemetry::log_output output{telemetry::standard_error(), settings.level};
    telemetry::logger log{output};
    auto replica = control_host::open_replica(settings, FLAGS_create_cluster);
    if (!replica.ok()) {
        const auto reason = hawthornstall::core::describe(replica.status());
        log.write({.level = log_level::error, .name = "data_folder_refused"}, {{"reason", reason}});
        return EXIT_FAILURE;
    }
    bool failed = false;
    {
        telemetry::logger task_log{output};
        const auto on_failure = [&](std::string_view reason) {
            failed = true;
            task_log.write({.level = log_level::error, .name = "data_folder_failed"},
                           {{"reason", reason}});
            kill(getpid(), SIGTERM);
        };
        hawthornstall::runtime::loop_task<control_host::control_logic> task{
            hawthornstall::runtime::make_mailbox<control_host::control_logic::message>(1), settings,
            *std::move(replica), std::function<void(std::string_view)>{on_failure}};
        log.write({.name = "control_host_started", .peer = settings.name});
        hawthornstall::runtime::wait_for_termination_signal();
    }
    log.write({.name = "control_host_stopped", .peer = settings.name});
    return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}

} // namespace

int main(int argc, char** argv) {
    gflags::SetUsageMessage(
        "serves one control host; usage: hawthornstall-controld --settings FILE");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    try {
        const auto settings = hawthornstall::settings::load_control_settings(FLAGS_settings);
        if (!settings.ok()) {
            std::cerr << hawthornstall::core::describe(settings.status()) << '\n';
            return 2;
        }
        if (FLAGS_check_settings) {
            std::cout << "settings are valid\n";
            return EXIT_SUCCESS;
        }
        hawthornstall::runtime::block_termination_signals();
        return run(*settings);
    } catch (const std::exception& error) {
        std::cerr << "hawthornstall-controld: " << error.what() << '\n';
        return EXIT_FAILURE;
    }
}
