#include "hawthornstall/telemetry/logger.hpp"

#include <doctest/doctest.h>

#include <array>
#include <limits>
#include <sstream>
#include <string>
#include <vector>

namespace hawthornstall::telemetry {
namespace {

/// Clock whose steady time is set by the test.
struct manual_clock {
    inline static core::time_ms steady{};

    static core::time_ms now() { return steady; }
    static core::time_ms wall_now() { return core::from_count(1'764'846'000'007); }
};

/// Output that keeps the written lines.
struct recording_output {
    core::log_level lowest = core::log_level::info;
    std::vector<std::string> lines;

    [[nodiscard]] core::log_level level() const { return lowest; }
    void write(core::log_level /*level*/, std::string_view line) { lines.emplace_back(line); }
};

struct line_case {
    log_event event;
    std::vector<log_field> fields;
    std::uint64_t dropped;
    std::string line;
};

// Guards against lines that a JSON parser refuses and against text that forges a second record.
TEST_CASE("records are written as one JSON line") {
    const std::string prefix = R"({"time":"2025-12-04T11:00:00.007Z",)";
    const std::array cases{
        line_case{{.name = "started"}, {}, 0, R"("level":"info","event":"started"})"},
        line_case{{.level = core::log_level::error,
                   .name = "dispatch_failed",
                   .step = "dispatch",
                   .peer = "minion-7",
                   .id = "bilbao.1.2.k"},
                  {{"attempt", 2U},
                   {"code", -5},
                   {"share", 0.5},
                   {"undefined", std::numeric_limits<double>::quiet_NaN()},
                   {"retried", true}},
                  3,
                  R"("level":"error","event":"dispatch_failed","step":"dispatch",)"
                  R"("peer":"minion-7","id":"bilbao.1.2.k","attempt":2,"code":-5,)"
                  R"("share":0.500000,"undefined":null,"retried":true,"dropped":3})"},
        line_case{{.name = "refused"},
                  {{"reason", "a\"b\\\n\xc3\x7f"}},
                  0,
                  R"("level":"info","event":"refused","reason":"a\"b\\\u000a\u00c3\u007f"})"},
        line_case{{.name = "long"},
                  {{"text", std::string_view{"aaaaaaaa"}}},
                  0,
                  R"("level":"info","event":"long","text":"aaaaaaaa"})"},
    };
    for (auto test : cases) {
        test.event.fields = test.fields;
        CHECK(to_json_line(test.event, manual_clock::wall_now(), test.dropped) ==
              prefix + test.line);
    }
    const std::string text(2 * max_field_bytes, 'a');
    const std::array fields{log_field{"text", std::string_view{text}}};
    const log_event event{.name = "long", .fields = fields};
    CHECK(to_json_line(event, {}, 0).size() < max_field_bytes + 200);
}

struct burst_case {
    std::uint32_t records;
    std::int64_t interval_ms;
    std::size_t written;
    std::string_view last_line_end;
};

// Guards against a repeating failure that floods the log, and against dropped records that are not
// counted in a later record.
TEST_CASE("the rate of one event is limited and drops are counted") {
    constexpr std::array cases{
        burst_case{20, 0, 20, R"("event":"refused"})"},
        burst_case{500, 0, 20, R"("event":"refused"})"},
        burst_case{40, 50, 40, R"("event":"refused"})"},
        burst_case{1001, 1, 21, R"("event":"refused","dropped":980})"},
    };
    for (const auto& test : cases) {
        CAPTURE(test.records);
        manual_clock::steady = {};
        recording_output output;
        basic_logger<recording_output, manual_clock> log{output};
        for (std::uint32_t record = 0; record < test.records; ++record) {
            log.write({.name = "refused"});
            manual_clock::steady += core::duration_ms{test.interval_ms};
        }
        CHECK(output.lines.size() == test.written);
        CHECK(output.lines.back().ends_with(test.last_line_end));
        // Another event has a rate limit of its own.
        log.write({.name = "other"}, {{"count", 1}});
        CHECK(output.lines.size() == test.written + 1);
    }
}

// Guards against drop counts that are lost when the failure ends.
TEST_CASE("drops are reported when the event does not occur again") {
    manual_clock::steady = {};
    recording_output output;
    basic_logger<recording_output, manual_clock> log{output};
    for (int record = 0; record < 25; ++record) {
        log.write({.name = "refused"});
    }
    log.report_dropped();
    CHECK(output.lines.size() == 20);
    manual_clock::steady += log_limiter::window;
    log.report_dropped();
    log.report_dropped();
    REQUIRE(output.lines.size() == 21);
    CHECK(output.lines.back().ends_with(
        R"("event":"log_records_dropped","dropped_event":"refused","dropped":5})"));
}

// Guards against a level change that needs a restart, and against lines lost at shutdown.
TEST_CASE("the level can be changed at run time and queued lines are written at shutdown") {
    const auto stream = std::make_shared<std::ostringstream>();
    {
        log_output output{stream, core::log_level::warning};
        logger log{output};
        log.write({.name = "hidden"});
        output.set_level(core::log_level::debug);
        log.write({.level = core::log_level::debug, .name = "shown"});
        REQUIRE(output.flush());
        CHECK(stream->str().find("shown") != std::string::npos);
        log.write({.name = "last"});
        CHECK(output.overflow_count() == 0);
    }
    CHECK(stream->str().find("hidden") == std::string::npos);
    CHECK(stream->str().ends_with("\"event\":\"last\"}\n"));
}

} // namespace
} // namespace hawthornstall::telemetry
