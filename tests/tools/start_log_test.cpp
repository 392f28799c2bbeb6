#include "common/start_log.hpp"

#include <doctest/doctest.h>

#include <array>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <string>

namespace hawthornstall::tools {
namespace {

struct count_case {
    std::string name;
    std::string log;
    bool readable;
    std::size_t starts;
    std::size_t repeats;           ///< Violations when no task may start twice.
    std::size_t repeated_attempts; ///< Violations when other attempts are allowed.
};

// Guards against a checker that misses a second start of a task, which breaks guarantee G1.
TEST_CASE("second starts are found") {
    const std::array cases{
        count_case{"none", "", true, 0, 0, 0},
        count_case{"one", "start 1 z.1.1.k/0 1\nend 2 z.1.1.k/0 1\n", true, 1, 0, 0},
        count_case{"two tasks", "start 1 a/0 1\nstart 1 a/1 1\n", true, 2, 0, 0},
        count_case{"same attempt", "start 1 a/0 1\nstart 1 b/0 1\nstart 9 a/0 1\n", true, 3, 1, 1},
        count_case{"another attempt", "start 1 a/0 1\nstart 2 a/0 2\n", true, 2, 1, 0},
        count_case{"truncated last line", "start 1 a/0 1\nstart 2 a/0", true, 1, 0, 0},
        count_case{"damaged", "start 1 a/0\n", false, 0, 0, 0},
        count_case{"other event", "begin 1 a/0 1\n", false, 0, 0, 0},
        count_case{"five words", "start 1 a/0 1 x\n", false, 0, 0, 0},
    };
    for (const auto& test : cases) {
        CAPTURE(test.name);
        start_count count;
        CHECK(count.add(test.log).ok() == test.readable);
        CHECK(count.starts() == test.starts);
        CHECK(count.violations(repeat_rule::refuse_repeats).size() == test.repeats);
        CHECK(count.violations(repeat_rule::allow_attempts).size() == test.repeated_attempts);
    }
}

// Guards against counting each log on its own, which misses a task that started on two targets.
TEST_CASE("starts are counted over several logs, as they were written") {
    const auto path = std::filesystem::temp_directory_path() /
                      ("start_log_test." + std::to_string(core::to_count(core::ms_clock::now())));
    {
        const auto log = start_log::open(path.string());
        REQUIRE(log.ok());
        CHECK(log->write(task_event::start, core::from_count(5), {"z.1.1.k/0", "1"}));
        CHECK(log->write(task_event::end, core::from_count(6), {"z.1.1.k/0", "1"}));
    }
    std::ifstream file{path};
    const std::string text{std::istreambuf_iterator<char>{file}, std::istreambuf_iterator<char>{}};
    std::filesystem::remove(path);
    CHECK(text == "start 5 z.1.1.k/0 1\nend 6 z.1.1.k/0 1\n");
    start_count count;
    CHECK(count.add(text).ok());
    CHECK(count.add(text).ok());
    CHECK(count.violations(repeat_rule::allow_attempts).size() == 1);
    CHECK_FALSE(start_log::open("/nonexistent/log").ok());
    CHECK_FALSE(is_loggable({"a b", "1"}));
    CHECK_FALSE(is_loggable({"a\n", "1"}));
    CHECK_FALSE(is_loggable({"a", ""}));
}

} // namespace
} // namespace hawthornstall::tools
