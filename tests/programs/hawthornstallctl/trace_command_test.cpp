#include "hawthornstallctl/trace_command.hpp"

#include <doctest/doctest.h>

#include <array>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <string>
#include <string_view>
#include <vector>

namespace hawthornstall::ctl {
namespace {

struct line_case {
    std::string_view name;
    std::string_view text;
    std::string_view host; ///< Expected host of the line; empty when the line is skipped.
};

// Guards against including lines of other requests, and against failing on lines that are not JSON.
TEST_CASE("only JSON lines with the id are taken") {
    constexpr std::array cases{
        line_case{"plain", R"({"time":"t1","event":"job_ended","id":"a1"})", "entry-1"},
        line_case{"host name from a log collector",
                  R"(  13.5 front-2 {"time":"t1","event":"job_ended","id":"a1"})", "front-2"},
        line_case{"another id", R"({"time":"t1","event":"job_ended","id":"a12"})", ""},
        line_case{"id in the detail", R"({"time":"t1","event":"x","detail":"a1"})", ""},
        line_case{"not JSON", R"({"id":"a1")", ""},
        line_case{"no JSON", "a1 started", ""},
    };
    for (const auto& item : cases) {
        CAPTURE(item.name);
        std::istringstream log{std::string{item.text} + "\n"};
        const auto lines = read_trace(log, "entry-1", "a1");
        REQUIRE(lines.size() == (item.host.empty() ? 0 : 1));
        CHECK((lines.empty() || lines.front().host == item.host));
    }
}

struct trace_case {
    std::string_view name;
    std::vector<std::string> files;
    std::string_view id;
    exit_code expected;
    std::vector<std::string> events; ///< In the order in which they are shown.
};

// Guards against showing the lines in the order of the files instead of the order of time.
TEST_CASE("the lines of several hosts are shown in the order of their times") {
    const auto folder = std::filesystem::temp_directory_path() / "hawthornstall-trace-test";
    std::filesystem::create_directories(folder);
    const auto first = (folder / "entry-1.log").string();
    const auto second = (folder / "entry-2.log").string();
    std::ofstream{first}
        << R"({"time":"2026-01-01T00:00:00.100Z","event":"job_submitted","id":"a1"})" << '\n'
        << R"({"time":"2026-01-01T00:00:00.300Z","event":"job_answered","id":"a1"})" << '\n';
    std::ofstream{second} << R"({"time":"2026-01-01T00:00:00.200Z","event":"job_ended","id":"a1"})"
                          << '\n';
    const std::array cases{
        trace_case{"both",
                   {second, first},
                   "a1",
                   exit_code::ok,
                   {"job_submitted", "job_ended", "job_answered"}},
        trace_case{"unknown id", {first, second}, "b2", exit_code::refused, {}},
        trace_case{"no such file", {first, first + ".old"}, "a1", exit_code::usage, {}},
    };
    for (const auto& item : cases) {
        CAPTURE(item.name);
        std::ostringstream out;
        std::ostringstream err;
        CHECK(run_trace(item.id, item.files, {}, {out, err}) == item.expected);
        CHECK(err.str().empty() == (item.expected == exit_code::ok));
        std::size_t position = 0;
        for (const auto& event : item.events) {
            const auto found = out.str().find(event, position);
            REQUIRE(found != std::string::npos);
            position = found;
        }
    }
    std::filesystem::remove_all(folder);
}

} // namespace
} // namespace hawthornstall::ctl
