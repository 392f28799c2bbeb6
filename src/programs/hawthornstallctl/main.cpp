/// hawthornstallctl: command-line client with which operators and teams manage service documents
/// and inspect the system. Sends HTTP requests to entry hosts.

#include "hawthornstallctl/commands.hpp"

#include <gflags/gflags.h>

#include <fstream>
#include <iostream>
#include <string>
#include <string_view>
#include <vector>

DEFINE_string(host, "",
              "ip:port of an entry host; several, separated by commas, are tried in turn");
DEFINE_string(token_file, "", "file that holds the bearer token");
DEFINE_string(edit_id, "", "identifier of an earlier edit whose answer was lost");
DEFINE_string(base_version, "",
              "version that an edit starts from; default: stated in the document");
DEFINE_bool(json, false, "write answers as JSON");
DEFINE_uint32(attempts, 3, "times that a request without a definite answer is sent");
DEFINE_uint32(timeout_ms, 5000, "time to wait for each answer");

namespace hawthornstall::ctl {
namespace {

std::vector<std::string> split_hosts(std::string_view text) {
    std::vector<std::string> hosts;
    while (!text.empty()) {
        const auto comma = text.find(',');
        hosts.emplace_back(text.substr(0, comma));
        text.remove_prefix(comma == std::string_view::npos ? text.size() : comma + 1);
    }
    return hosts;
}

int run(std::vector<std::string> arguments) {
    std::string token;
    if (!FLAGS_token_file.empty()) {
        std::ifstream file{FLAGS_token_file};
        if (!(file >> token)) {
            std::cerr << "error: the token cannot be read\n  step: read " << FLAGS_token_file
                      << "\n  next: check --token_file\n";
            return static_cast<int>(exit_code::usage);
        }
    }
    const command_options options{.access = {.hosts = split_hosts(FLAGS_host),
                                             .token = token,
                                             .attempts = std::max<std::size_t>(1, FLAGS_attempts),
                                             .timeout = core::duration_ms{FLAGS_timeout_ms}},
                                  .edit_id = FLAGS_edit_id,
                                  .base_version = FLAGS_base_version,
                                  .json = FLAGS_json};
    return static_cast<int>(run_command(arguments, options, {std::cout, std::cerr}));
}

} // namespace
} // namespace hawthornstall::ctl

int main(int argc, char** argv) {
    gflags::SetUsageMessage(hawthornstall::ctl::usage());
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    return hawthornstall::ctl::run({argv + 1, argv + argc});
}
