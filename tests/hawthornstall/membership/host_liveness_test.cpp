#include "hawthornstall/membership/host_liveness.hpp"
#include "hawthornstall/membership/ownership.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <string>
#include <string_view>
#include <vector>

namespace hawthornstall::membership {
namespace {

using core::duration_ms;
using core::from_count;

/// A message from "a", or a tick when the incarnation is 0.
struct liveness_step {
    std::int64_t at_ms;
    std::uint64_t incarnation;
    std::vector<host_change> changes;
};

struct liveness_case {
    std::string_view name;
    std::vector<liveness_step> steps;
    bool reachable;
};

// Guards against owners that stay with a dead host, and against a host that flaps on one lost
// heartbeat.
TEST_CASE("silence, return and restart of a host are seen") {
    using enum host_change;
    const std::array cases{
        liveness_case{"never heard", {{0, 0, {}}, {5000, 0, {}}}, false},
        liveness_case{"two lost heartbeats",
                      {{0, 1, {reachable}}, {1499, 0, {}}, {1499, 1, {}}, {2998, 0, {}}},
                      true},
        liveness_case{
            "silent", {{0, 1, {reachable}}, {1500, 0, {unreachable}}, {1600, 0, {}}}, false},
        liveness_case{"returns",
                      {{0, 1, {reachable}}, {1500, 0, {unreachable}}, {1501, 1, {reachable}}},
                      true},
        liveness_case{"restarts without silence", {{0, 1, {reachable}}, {9, 2, {restarted}}}, true},
        liveness_case{
            "restarts after silence",
            {{0, 1, {reachable}}, {1500, 0, {unreachable}}, {9000, 2, {restarted, reachable}}},
            true},
        liveness_case{"late message of the old incarnation",
                      {{0, 2, {reachable}}, {1400, 1, {}}, {1500, 0, {unreachable}}},
                      false},
    };
    for (const auto& test : cases) {
        CAPTURE(test.name);
        const std::vector<std::string> peers{"a"};
        host_liveness liveness{peers};
        CHECK(liveness.heard("stranger", 1, {}).empty());
        for (const auto& step : test.steps) {
            CAPTURE(step.at_ms);
            const auto now = from_count(step.at_ms);
            const auto events = step.incarnation == 0 ? liveness.tick(now).events
                                                      : liveness.heard("a", step.incarnation, now);
            CHECK(std::ranges::equal(events, step.changes, {}, &host_event::change));
        }
        CHECK(liveness.is_reachable("a") == test.reachable);
        CHECK(liveness.reachable().size() == (test.reachable ? 1 : 0));
    }
}

// Guards against heartbeats that double the control traffic beside other messages.
TEST_CASE("a heartbeat is due only after 500 ms without a message") {
    const std::vector<std::string> peers{"a", "b"};
    host_liveness liveness{peers};
    CHECK(liveness.tick(from_count(0)).heartbeats == peers);
    CHECK(liveness.tick(from_count(499)).heartbeats.empty());
    liveness.sent("a", from_count(499));
    CHECK(liveness.tick(from_count(500)).heartbeats == std::vector<std::string>{"b"});
    CHECK(liveness.tick(from_count(999)).heartbeats == std::vector<std::string>{"a"});
}

// Guards against two zones that share an owner by construction, and against a missing host list.
TEST_CASE("the owner depends on service and zone") {
    const std::array<core::weighted_member, 3> hosts{{{"a", 1.0}, {"b", 1.0}, {"c", 1.0}}};
    int different = 0;
    for (int number = 0; number < 100; ++number) {
        const auto service = "service-" + std::to_string(number);
        const auto owner = owner_of(service, "bilbao", hosts);
        CHECK(owner == owner_of(service, "bilbao", hosts));
        different += owner != owner_of(service, "oviedo", hosts) ? 1 : 0;
    }
    CHECK(different > 40);
    CHECK(owner_of("service", "bilbao", {}).empty());
}

} // namespace
} // namespace hawthornstall::membership
