#include "platform/soak/run_log.hpp"

#include <doctest/doctest.h>

#include <array>
#include <string_view>

namespace hawthornstall::platform::soak {
namespace {

struct log_case {
    std::string_view name;
    std::string_view text;
    std::int64_t end;
    std::string_view outcome;
};

// Guards against runs that are still counted as running after their worker crashed, and against
// an end line that is attributed to another run.
TEST_CASE("a run ends at its end line, or at the last logged time if its worker crashed") {
    constexpr std::array cases{
        log_case{"done", "worker 1\nstart a.0.0.0 1 10\nend a.0.0.0 1 done 70\n", 70, "done"},
        log_case{"stopped", "worker 1\nstart a.0.0.0 1 10\nend a.0.0.0 1 stopped 20\n", 20,
                 "stopped"},
        log_case{"worker restarted",
                 "worker 1\nstart a.0.0.0 1 10\nstart b.0.0.0 1 30\nworker 90\n", 30, "crashed"},
        log_case{"end of another run", "start a.0.0.0 1 10\nend a.0.0.0 2 done 70\n", 70,
                 "crashed"},
        log_case{"truncated line", "start a.0.0.0 1 10\nend a.0.0.0", 10, "crashed"},
    };
    for (const auto& item : cases) {
        CAPTURE(item.name);
        const auto runs = read_run_log("w1", item.text);
        REQUIRE_FALSE(runs.empty());
        CHECK(runs.front().task == "a.0.0.0");
        CHECK(runs.front().worker == "w1");
        CHECK(runs.front().start == 10);
        CHECK(runs.front().end == item.end);
        CHECK(runs.front().outcome == item.outcome);
    }
}

} // namespace
} // namespace hawthornstall::platform::soak
