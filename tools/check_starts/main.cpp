/// check_starts: reads the start logs of all stand-in targets and exits with 1 when a task started
/// more often than allowed.

#include "common/start_log.hpp"
#include "hawthornstall/core/error.hpp"

#include <gflags/gflags.h>

#include <fstream>
#include <iostream>
#include <iterator>
#include <span>
#include <string>

DEFINE_bool(allow_attempts, false,
            "accept further starts of a task under other attempt numbers (idempotent work)");
DEFINE_uint64(expect_starts, 0, "also fail when fewer starts than this are found");

namespace hawthornstall::tools {
namespace {

constexpr int exit_violation = 1;
constexpr int exit_usage = 2;

int check(std::span<char* const> paths) {
    start_count count;
    for (const std::string path : paths) {
        std::ifstream file{path, std::ios::binary};
        const std::string log{std::istreambuf_iterator<char>{file},
                              std::istreambuf_iterator<char>{}};
        if (!file) {
            std::cerr << path << ": cannot be read\n";
            return exit_usage;
        }
        if (const auto added = count.add(log); !added.ok()) {
            std::cerr << path << ": " << core::describe(added) << '\n';
            return exit_usage;
        }
    }
    const auto rule =
        FLAGS_allow_attempts ? repeat_rule::allow_attempts : repeat_rule::refuse_repeats;
    const auto violations = count.violations(rule);
    for (const auto& violation : violations) {
        std::cout << violation << '\n';
    }
    std::cout << count.starts() << " starts of " << count.tasks() << " tasks, " << violations.size()
              << " violations\n";
    const bool enough_starts = count.starts() >= FLAGS_expect_starts;
    return violations.empty() && enough_starts ? 0 : exit_violation;
}

} // namespace
} // namespace hawthornstall::tools

int main(int argc, char** argv) {
    gflags::SetUsageMessage("check_starts [flags] <start log>...");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const std::span<char* const> arguments{argv, static_cast<std::size_t>(argc)};
    if (arguments.size() < 2) {
        std::cerr << gflags::ProgramUsage() << '\n';
        return hawthornstall::tools::exit_usage;
    }
    return hawthornstall::tools::check(arguments.subspan(1));
}
