#include "hawthornstall/net/http_client.hpp"
#include "hawthornstall/runtime/event_loop.hpp"
#include "platform/job_codec.hpp"

#include <doctest/doctest.h>

#include <array>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace hawthornstall::platform {
namespace {

constexpr std::string_view valid_body =
    R"({"specification":"text","best_effort":true,"steps":[{"count":4,"cpu":27000,)"
    R"("requested_memory_mb":64,"estimated_ms":900,"requirements":"a","anti_affinity":2},)"
    R"({"count":1,"cpu":500,"after":[0],"data_rack":"r1"}]})";

/// Sends one request to a server on loopback and decodes it there.
absl::StatusOr<runs::caller_request> decode(std::string_view body, std::string_view deadline,
                                            std::string_view path = "/a/5c0e7a21d94b36f8") {
    runtime::event_loop loop;
    runs::job_route route{.name = "r", .host = "h", .path_prefix = "/a/", .terms = {}};
    route.terms.deadline = core::duration_ms{1'500};
    absl::StatusOr<runs::caller_request> decoded = absl::InternalError("no request arrived");
    std::unique_ptr<net::http_server> server;
    server = std::make_unique<net::http_server>(
        loop, "127.0.0.1:0", net::http_server_limits{}, [&](const net::http_request& request) {
            decoded =
                decode_request({&request, &route, request.path.substr(route.path_prefix.size())});
            server->answer(request.number, {.body = "{}"});
        });
    REQUIRE(server->start().ok());
    net::http_client client{loop, {}};
    std::vector<net::http_header> headers;
    if (!deadline.empty()) {
        headers.push_back({"X-Deadline-Milliseconds", deadline});
    }
    const auto sent =
        client.send({.address = server->address(), .path = path, .headers = headers, .body = body},
                    [&](const net::exchange_result&) { loop.stop(); });
    REQUIRE(sent.ok());
    loop.run();
    return decoded;
}

// Guards against a decoder that drops a field or reads it in the wrong unit.
TEST_CASE("all fields of a job are decoded") {
    const auto decoded = decode(valid_body, "2761");
    REQUIRE(decoded.ok());
    const auto* const job = std::get_if<runs::job_request>(&*decoded);
    REQUIRE(job != nullptr);
    CHECK(job->id == "5c0e7a21d94b36f8");
    CHECK(job->specification == "text");
    REQUIRE(job->steps.size() == 2);
    CHECK(job->steps[0].count == 4);
    CHECK(job->steps[0].resources == core::resources{.cpu_millis = 27'000, .memory_mb = 64});
    CHECK(job->steps[0].estimated == core::duration_ms{900});
    CHECK(job->steps[0].required_label == "a");
    CHECK(job->steps[0].max_per_target == 2);
    CHECK(job->steps[1].after == std::vector<std::uint32_t>{0});
    CHECK(job->steps[1].data_rack == "r1");
}

struct deadline_case {
    std::string_view header;
    core::duration_ms expected;
};

// Guards against jobs that are refused because the route's timeout is used although it is shorter
// than the deadline that the caller sent, and against a deadline that overflows the clock.
TEST_CASE("the caller's deadline overrides the route's timeout") {
    constexpr std::array cases{
        deadline_case{"2761", core::duration_ms{2'761}},
        deadline_case{"300", core::duration_ms{300}},
        deadline_case{"", core::duration_ms{1'500}},
        deadline_case{"0", core::duration_ms{1'500}},
        deadline_case{"soon", core::duration_ms{1'500}},
        deadline_case{"9223372036854775807", runs::max_time},
        deadline_case{"9223372036854775808", core::duration_ms{1'500}},
    };
    for (const auto& item : cases) {
        CAPTURE(item.header);
        const auto decoded = decode(valid_body, item.header);
        REQUIRE(decoded.ok());
        CHECK(std::get<runs::job_request>(*decoded).terms.deadline == item.expected);
    }
}

struct rejected_case {
    std::string_view name;
    std::string_view body;
    std::string_view path;
    int status = 400;
};

// Guards against a malformed job that is accepted in part, and against a job with an unsupported
// feature that is accepted. A request that becomes negative would add capacity to its target.
TEST_CASE("malformed and unsupported jobs are rejected with the right status") {
    constexpr std::string_view path = "/a/5c0e7a21d94b36f8";
    constexpr std::array cases{
        rejected_case{"not JSON", "{", path},
        rejected_case{"no steps", R"({"best_effort":true})", path},
        rejected_case{"steps of the wrong type", R"({"best_effort":true,"steps":3})", path},
        rejected_case{"count of the wrong type", R"({"best_effort":true,"steps":[{"count":"4"}]})",
                      path},
        rejected_case{"count above 32 bits",
                      R"({"best_effort":true,"steps":[{"count":4294967297}]})", path},
        rejected_case{"limit of tasks per target above 32 bits",
                      R"({"best_effort":true,"steps":[{"count":1,"anti_affinity":4294967296}]})",
                      path},
        rejected_case{"processor request of 2^63",
                      R"({"best_effort":true,"steps":[{"count":1,"cpu":9223372036854775808}]})",
                      path},
        rejected_case{"processor request of 2^64-16000",
                      R"({"best_effort":true,"steps":[{"count":1,"cpu":18446744073709535616}]})",
                      path},
        rejected_case{"memory request of 2^64-1",
                      R"({"best_effort":true,"steps":[{"count":1,)"
                      R"("requested_memory_mb":18446744073709551615}]})",
                      path},
        rejected_case{"accelerators of 2^63",
                      R"({"best_effort":true,"steps":[{"count":1,"gpu":9223372036854775808}]})",
                      path},
        rejected_case{"run time of 2^64-1",
                      R"({"best_effort":true,"steps":[{"count":1,)"
                      R"("estimated_ms":18446744073709551615}]})",
                      path},
        rejected_case{"run time beyond a double",
                      R"({"best_effort":true,"steps":[{"count":1,"estimated_ms":1e400}]})", path},
        rejected_case{"negative processor request",
                      R"({"best_effort":true,"steps":[{"count":1,"cpu":-1}]})", path},
        rejected_case{"invalid job id", valid_body, "/a/x"},
        rejected_case{"durable job", R"({"steps":[{"count":1}]})", path, 503},
        rejected_case{"gang", R"({"best_effort":true,"steps":[{"count":1,"gang":true}]})", path,
                      503},
        rejected_case{"long-running",
                      R"({"best_effort":true,"steps":[{"count":1,"long_running":true}]})", path,
                      503},
    };
    for (const auto& item : cases) {
        CAPTURE(item.name);
        const auto decoded = decode(item.body, "", item.path);
        REQUIRE_FALSE(decoded.ok());
        CHECK(answer_to(decoded.status()).status == item.status);
    }
}

struct answer_case {
    runs::job_result result = runs::job_result::lost;
    int status = 0;
};

// Guards against an answer that says "not run" for a job of which tasks may have run.
TEST_CASE("the status of the answer follows from the result of the job") {
    constexpr std::array cases{
        answer_case{runs::job_result::completed, 200}, answer_case{runs::job_result::failed, 200},
        answer_case{runs::job_result::refused, 503}, answer_case{runs::job_result::lost, 502},
        answer_case{runs::job_result::cancelled, 200}};
    for (const auto& item : cases) {
        CHECK(answer_to(runs::job_answer{.result = item.result}).status == item.status);
    }
}

} // namespace
} // namespace hawthornstall::platform
