/// hawthornstall-entryd: daemon that runs one entry host until SIGTERM or SIGINT.

#include "hawthornstall/core/error.hpp"
#include "hawthornstall/entry/entry_host.hpp"
#include "hawthornstall/runtime/failure_handler.hpp"
#include "hawthornstall/runtime/signal_wait.hpp"
#include "hawthornstall/settings/entry_settings.hpp"
#include "hawthornstall/telemetry/log_output.hpp"
#include "hawthornstall/telemetry/logger.hpp"

#include <gflags/gflags.h>

#include <cstdlib>
#include <exception>
#include <future>
#include <iostream>

DEFINE_string(settings, "", "path of the JSON settings file");
DEFINE_bool(check_settings, false, "check the settings file and exit");

namespace {

/// Time before the process exits in which the last messages to the other entry hosts are sent.
constexpr std::chrono::milliseconds final_send_time{200};

int run(const hawthornstall::settings::entry_settings& settings) {
    namespace telemetry = hawthornstall::telemetry;
    telemetry::log_output output{telemetry::standard_error(), settings.level};
    telemetry::logger log{output};
    std::promise<void> stopped;
    auto has_stopped = stopped.get_future();
    hawthornstall::entry::entry_host host{settings, output, [&stopped] {
                                              stopped.set_value();
                                          }};
    log.write({.name = "entry_host_started", .peer = settings.name}, {{"zone", settings.zone}});
    hawthornstall::runtime::wait_for_termination_signal();
    log.write({.name = "shutdown_started", .peer = settings.name});
    host.shut_down();
    const bool graceful =
        has_stopped.wait_for(settings.shutdown_grace) == std::future_status::ready;
    std::promise<void>{}.get_future().wait_for(final_send_time);
    log.write({.level = graceful ? hawthornstall::core::log_level::info
                                 : hawthornstall::core::log_level::warning,
               .name = "shutdown_finished",
               .peer = settings.name},
              {{"graceful", graceful}});
    return graceful ? EXIT_SUCCESS : EXIT_FAILURE;
}

} // namespace

int main(int argc, char** argv) {
    hawthornstall::runtime::install_failure_handler(argv[0]);
    gflags::SetUsageMessage("serves one entry host; usage: hawthornstall-entryd --settings FILE");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    try {
        const auto settings = hawthornstall::settings::load_entry_settings(FLAGS_settings);
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
        std::cerr << "hawthornstall-entryd: " << error.what() << '\n';
        return EXIT_FAILURE;
    }
}
