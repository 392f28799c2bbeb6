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
        count_case{"marked line", "start 1 a/0 1\nstart 2\x18\nstart 3 b/0 1\n", true, 2, 0, 0},
        count_case{"unmarked cut line", "start 2 a/0start 3 b/0 1\n", false, 0, 0, 0},
        count_case{"control character", "start 1 a/0 1\x18 \n", false, 0, 0, 0},
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

// Guards against a log that cannot be read because a target was killed while it wrote a line, and
// was started again on the same log.
TEST_CASE("a log that ends with a cut line can be continued") {
    const auto path =
        std::filesystem::temp_directory_path() /
        ("start_log_cut_test." + std::to_string(core::to_count(core::ms_clock::now())));
    const std::string whole = "start 5 z.1.1.k/0 1\n";
    for (std::size_t length = 0; length <= whole.size(); ++length) {
        CAPTURE(length);
        std::ofstream{path, std::ios::binary | std::ios::trunc} << whole.substr(0, length);
        for (const auto* const task : {"z.1.1.k/1", "z.1.1.k/2"}) {
            const auto log = start_log::open(path.string());
            REQUIRE(log.ok());
            CHECK(log->write(task_event::start, core::from_count(7), {task, "1"}));
        }
        std::ifstream file{path, std::ios::binary};
        const std::string text{std::istreambuf_iterator<char>{file},
                               std::istreambuf_iterator<char>{}};
        start_count count;
        CHECK(count.add(text).ok());
        CHECK(count.starts() == (length == whole.size() ? 3 : 2));
        CHECK(count.violations(repeat_rule::refuse_repeats).empty());
    }
    std::filesystem::remove(path);
}

} // namespace
} // namespace hawthornstall::tools
