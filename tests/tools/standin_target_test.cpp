#include "hawthornstall/http/target_body.hpp"
#include "hawthornstall/net/http_client.hpp"
#include "standin_target/announcer.hpp"
#include "standin_target/standin_target.hpp"

#include <doctest/doctest.h>

#include <array>
#include <memory>
#include <string>
#include <vector>

namespace hawthornstall::tools {
namespace {

using core::duration_ms;
using net::exchange_outcome;

struct run_time_case {
    std::string payload;
    double speed;
    duration_ms expected;
};

// Guards against stand-ins whose run times differ from those that a test requests.
TEST_CASE("run times come from the payload or the default") {
    const std::array cases{
        run_time_case{"", 1.0, duration_ms{100}},
        run_time_case{"run_ms=50 job=1", 1.0, duration_ms{50}},
        run_time_case{"run_ms=50", 2.0, duration_ms{25}},
        run_time_case{"run_ms=x", 0.5, duration_ms{200}},
        run_time_case{"run_ms=-5", 1.0, duration_ms{0}},
        run_time_case{"run_ms=99999999999", 1.0, duration_ms{600'000}},
    };
    for (const auto& test : cases) {
        CAPTURE(test.payload);
        CHECK(nominal_run_time(test.payload, duration_ms{100}, test.speed) == test.expected);
    }
}

struct run_outcome {
    exchange_outcome outcome = exchange_outcome::not_sent;
    int status = 0;
    std::string body;

    bool operator==(const run_outcome&) const = default;
};

/// Sends one task to a stand-in with one slot, and a second one while the first still runs.
template <task_behaviour Behaviour> std::vector<run_outcome> run_two() {
    runtime::event_loop loop;
    auto log = start_log::open("");
    standin_target<Behaviour> target{loop, {.slots = 1}, *std::move(log)};
    REQUIRE(target.start().ok());
    net::http_client client{loop, {}};
    const std::array headers{net::http_header{"X-Task-Id", "a/0"},
                             net::http_header{"X-Attempt", "1"}};
    std::vector<run_outcome> ends(2);
    std::size_t finished = 0;
    for (auto& end : ends) {
        const net::exchange_request request{.address = target.address(),
                                            .path = "/v1/run",
                                            .headers = headers,
                                            .body = "run_ms=20 x",
                                            .timeout = duration_ms{400}};
        const auto sent = client.send(request, [&](const net::exchange_result& result) {
            end = {result.outcome, result.status, std::string{result.body}};
            if (++finished == ends.size()) {
                loop.stop();
            }
        });
        REQUIRE(sent.ok());
    }
    loop.run();
    return ends;
}

struct behaviour_case {
    std::string name;
    std::vector<run_outcome> (*run)();
    run_outcome first;
};

// Guards against stand-ins that do not simulate the requested fault.
TEST_CASE("each behaviour gives the expected answer, and a full target answers 503") {
    const std::array cases{
        behaviour_case{
            "normal", run_two<normal_behaviour>, {exchange_outcome::answered, 200, "run_ms=20 x"}},
        behaviour_case{"straggler",
                       run_two<straggling_behaviour>,
                       {exchange_outcome::answered, 200, "run_ms=20 x"}},
        behaviour_case{"hang", run_two<hanging_behaviour>, {exchange_outcome::broken, 0, ""}},
        behaviour_case{
            "short_body", run_two<short_body_behaviour>, {exchange_outcome::broken, 0, ""}},
    };
    for (const auto& test : cases) {
        CAPTURE(test.name);
        const auto ends = test.run();
        CHECK(ends[0] == test.first);
        CHECK(ends[1].status == 503);
    }
    CHECK(run_two<failing_behaviour>()[0].status == 500);
}

// Guards against a target that is not announced because one entry host is down, and against a lost
// leave message, which guarantee G6 depends on.
TEST_CASE("announcements go to the next entry host when one fails") {
    runtime::event_loop loop;
    std::vector<core::target_announcement> received;
    std::unique_ptr<net::http_server> server;
    server = std::make_unique<net::http_server>(
        loop, "127.0.0.1:0", net::http_server_limits{}, [&](const net::http_request& request) {
            if (request.path == "/v1/ping") {
                // The client checks connections that were idle for 1 s.
                server->answer(request.number, {.body = "{}"});
                return;
            }
            const auto target = request.path == "/v1/targets/leave"
                                    ? http::decode_target_leave(request.body)
                                    : http::decode_target_announcement(request.body);
            INFO(request.method << ' ' << request.path << ' ' << request.body);
            REQUIRE(target.ok());
            received.push_back(*target);
            server->answer(request.number, {.body = "{}"});
        });
    REQUIRE(server->start().ok());
    net::http_client client{loop, {}};
    core::target_announcement description;
    description.name = "m";
    description.address = "127.0.0.1:9";
    description.zone = "z";
    description.services = {"s"};
    announcer target_announcer{
        loop, client, description, {"127.0.0.1:1", std::string{server->address()}, "malformed"}};
    target_announcer.start();
    const auto timer = loop.after(duration_ms{1100}, [&] {
        target_announcer.leave([&](bool accepted) {
            CHECK(accepted);
            loop.stop();
        });
    });
    loop.run();
    REQUIRE(received.size() >= 2);
    CHECK(received.front().name == "m");
    CHECK_FALSE(received.front().leaving);
    CHECK(received.back().leaving);
    CHECK(received.back().sequence > received.front().sequence);
}

} // namespace
} // namespace hawthornstall::tools
