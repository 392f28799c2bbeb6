#include "platform/target_codec.hpp"

#include <doctest/doctest.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace hawthornstall::platform {
namespace {

runs::target_call make_call(runs::target_request request) {
    return {.number = 1,
            .target = "i-7",
            .address = "10.0.0.1:80",
            .fencing_token = 7,
            .timeout = {},
            .request = std::move(request)};
}

const runs::run_name sample_run{.task = {"5c0e7a21d94b36f8", 1, 17}, .number = 2};

struct encode_case {
    std::string_view name;
    runs::target_request request;
    std::string path;
    std::string body;
};

// Guards against a field that is encoded under the wrong name or in the wrong unit.
TEST_CASE("calls are encoded in the format of the platform") {
    const std::array cases{
        encode_case{"start", runs::start_call{sample_run, "text", 486'000}, "/api/run-start",
                    R"({"deadline_ms":486000,"fencing_token":7,"run":2,)"
                    R"("specification":"text","task":"5c0e7a21d94b36f8.0.1.17"})"},
        encode_case{"stop", runs::stop_call{sample_run}, "/api/run-stop",
                    R"({"fencing_token":7,"run":2,"task":"5c0e7a21d94b36f8.0.1.17"})"},
        encode_case{"list", runs::list_call{57, 486'000, core::duration_ms{400}}, "/api/hold",
                    R"({"deadline_ms":486000,"fencing_token":7,"last_seen":57,"wait_ms":400})"},
        encode_case{"list without a lease", runs::list_call{0, std::nullopt, {}}, "/api/hold",
                    R"({"fencing_token":7,"last_seen":0})"},
    };
    for (const auto& item : cases) {
        CAPTURE(item.name);
        const auto encoded = encode_call(make_call(item.request));
        CHECK(encoded.path == item.path);
        CHECK(encoded.body == item.body);
        CHECK(encoded.headers.back().second == "i-7");
    }
}

struct fault_case {
    std::string_view name;
    net::exchange_outcome outcome = net::exchange_outcome::answered;
    int status = 200;
    std::string_view body;
    std::optional<runs::call_fault> expected;
};

// Guards against a call that is treated as without effect although the target may have executed it,
// and the reverse.
TEST_CASE("answers are mapped to the fault that tells whether a call had an effect") {
    using enum runs::call_fault;
    const std::array cases{
        fault_case{"success", net::exchange_outcome::answered, 200, R"({"clock_ms":5})", {}},
        fault_case{"fenced", net::exchange_outcome::answered, 409, R"({"reason":"fence"})", fenced},
        fault_case{"insufficient capacity", net::exchange_outcome::answered, 409,
                   R"({"reason":"room"})", rejected},
        fault_case{"other incarnation", net::exchange_outcome::answered, 421, "",
                   other_incarnation},
        fault_case{"unhealthy", net::exchange_outcome::answered, 503, "", overloaded},
        fault_case{"no answer", net::exchange_outcome::broken, 0, "", unanswered},
        fault_case{"not sent", net::exchange_outcome::not_sent, 0, "", not_delivered},
    };
    for (const auto& item : cases) {
        CAPTURE(item.name);
        const auto answer =
            decode_answer(make_call(runs::stop_call{sample_run}),
                          {.outcome = item.outcome, .status = item.status, .body = item.body});
        CHECK(answer.fault == item.expected);
    }
}

// Guards against a misread row of a listing, and against one malformed row that hides the others.
TEST_CASE("malformed rows of a listing are skipped") {
    constexpr std::string_view body =
        R"({"clock_ms":9,"born":1700000000000,)"
        R"("running":[["5c0e7a21d94b36f8.0.1.17",2,"",41],["bad",1,"",0],7],)"
        R"("ended":[[58,"5c0e7a21d94b36f8.0.1.9",1,"done",""],[59,"x.0.0.0",3,"lapsed",""],["?"]]})";
    const auto answer =
        decode_answer(make_call(runs::list_call{}),
                      {.outcome = net::exchange_outcome::answered, .status = 200, .body = body});
    CHECK_FALSE(answer.fault.has_value());
    CHECK(answer.clock_ms == 9);
    CHECK(answer.listing.incarnation == 1'700'000'000'000);
    REQUIRE(answer.listing.running.size() == 1);
    CHECK(answer.listing.running[0] == sample_run);
    REQUIRE(answer.listing.ended.size() == 2);
    CHECK(answer.listing.ended[0].number == 58);
    CHECK(answer.listing.ended[0].end == runs::run_end::done);
    CHECK(answer.listing.ended[1].end == runs::run_end::lapsed);
}

struct listing_case {
    std::string_view name;
    std::string_view body;
    std::optional<runs::call_fault> expected{};
    std::optional<std::int64_t> clock_ms{};
    std::size_t running = 0;
    std::size_t ended = 0;
};

// Guards against a listing that cannot be read and is taken for an empty one: all runs on the
// target would count as ended and start elsewhere while they still run.
TEST_CASE("a listing that cannot be read counts as unanswered") {
    constexpr auto unanswered = runs::call_fault::unanswered;
    const std::string nested(100'000, '[');
    const std::array cases{
        listing_case{.name = "empty lists",
                     .body = R"({"clock_ms":5,"running":[],"ended":[]})",
                     .clock_ms = 5},
        listing_case{.name = "no lists", .body = R"({"clock_ms":5})", .clock_ms = 5},
        listing_case{.name = "no body", .body = "", .expected = unanswered},
        listing_case{.name = "cut off",
                     .body = R"({"clock_ms":5,"running":[["5c0e.0.1.17",2,"",41])",
                     .expected = unanswered},
        listing_case{.name = "open arrays", .body = nested, .expected = unanswered},
        listing_case{.name = "not an object", .body = "[]", .expected = unanswered},
        listing_case{
            .name = "running is no list", .body = R"({"running":{}})", .expected = unanswered},
        listing_case{.name = "ended is no list", .body = R"({"ended":7})", .expected = unanswered},
        listing_case{
            .name = "start time is no number", .body = R"({"born":"1"})", .expected = unanswered},
        listing_case{.name = "start time above 64 bits",
                     .body = R"({"born":18446744073709551616})",
                     .expected = unanswered},
        listing_case{.name = "number beyond a double",
                     .body = R"({"running":[],"x":1e400})",
                     .expected = unanswered},
        listing_case{.name = "run number above 32 bits",
                     .body = R"({"running":[["j.0.1.17",4294967298,"",41],["j.0.1.18",2,"",0]]})",
                     .running = 1},
        listing_case{.name = "negative run number",
                     .body =
                         R"({"ended":[[1,"j.0.1.17",-1,"done",""],[2,"j.0.1.18",2,"done",""]]})",
                     .ended = 1},
        listing_case{.name = "task index above 32 bits",
                     .body = R"({"running":[["j.0.1.4294967313",2,"",41]]})"},
        listing_case{.name = "clock of 2^63-1", .body = R"({"clock_ms":9223372036854775807})"},
        listing_case{.name = "clock of 2^64-1", .body = R"({"clock_ms":18446744073709551615})"},
    };
    for (const auto& item : cases) {
        CAPTURE(item.name);
        const auto answer = decode_answer(
            make_call(runs::list_call{}),
            {.outcome = net::exchange_outcome::answered, .status = 200, .body = item.body});
        CHECK(answer.fault == item.expected);
        CHECK(answer.clock_ms == item.clock_ms);
        CHECK(answer.listing.running.size() == item.running);
        CHECK(answer.listing.ended.size() == item.ended);
    }
}

} // namespace
} // namespace hawthornstall::platform
