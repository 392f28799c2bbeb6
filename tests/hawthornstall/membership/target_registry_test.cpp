#include "hawthornstall/membership/target_registry.hpp"

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

core::target_announcement make_announcement(std::uint64_t incarnation, std::uint64_t sequence,
                                            bool leaving = false) {
    core::target_announcement announcement;
    announcement.name = "minion-1";
    announcement.incarnation = incarnation;
    announcement.sequence = sequence;
    announcement.zone = "bilbao";
    announcement.leaving = leaving;
    return announcement;
}

target_registry make_host(std::string peer) {
    return target_registry{{.incarnation = 1, .zone = "bilbao", .peers = {std::move(peer)}}};
}

void deliver(target_registry& host, std::string_view from, const registry_effects& effects,
             std::int64_t at_ms) {
    for (const auto& effect : effects) {
        static_cast<void>(host.receive(from, 1, effect.body, from_count(at_ms)));
    }
}

/// Two hosts with equal clocks that have exchanged one message in each direction at 0 ms.
struct host_pair {
    target_registry a = make_host("b");
    target_registry b = make_host("a");

    host_pair() {
        deliver(b, "a", a.tick(from_count(0)), 0);
        deliver(a, "b", b.tick(from_count(0)), 0);
    }
};

struct order_step {
    core::target_announcement announcement;
    announce_result result;
    bool usable;
};

struct order_case {
    std::string_view name;
    std::vector<order_step> steps;
};

// Guards against delayed announcements that replace later ones.
TEST_CASE("announcements are ordered by incarnation and sequence") {
    using enum announce_result;
    auto other_zone = make_announcement(1, 1);
    other_zone.zone = "oviedo";
    const std::array cases{
        order_case{
            "renewal",
            {{make_announcement(1, 1), accepted, true}, {make_announcement(1, 2), accepted, true}}},
        order_case{"duplicate",
                   {{make_announcement(1, 2), accepted, true},
                    {make_announcement(1, 2), not_newer, true}}},
        order_case{"late announcement after a departure",
                   {{make_announcement(1, 1), accepted, true},
                    {make_announcement(1, 3, true), accepted, false},
                    {make_announcement(1, 2), not_newer, false},
                    {make_announcement(1, 4, true), accepted, false}}},
        order_case{"departure is withdrawn",
                   {{make_announcement(1, 1, true), accepted, false},
                    {make_announcement(1, 2), accepted, true}}},
        order_case{"restart",
                   {{make_announcement(1, 9, true), accepted, false},
                    {make_announcement(2, 1), accepted, true}}},
        order_case{"late departure of the old process",
                   {{make_announcement(2, 1), accepted, true},
                    {make_announcement(1, 9, true), not_newer, true}}},
        order_case{"other zone", {{other_zone, wrong_zone, false}}},
    };
    for (const auto& test : cases) {
        CAPTURE(test.name);
        auto host = make_host("b");
        for (const auto& step : test.steps) {
            CAPTURE(step.announcement.sequence);
            CHECK(host.announce(step.announcement, from_count(0)).result == step.result);
            CHECK(host.is_usable("minion-1", from_count(0)) == step.usable);
        }
    }
}

// Guards against departures that are sent only with the next periodic message.
TEST_CASE("a departure reaches the peers without a tick") {
    host_pair hosts;
    static_cast<void>(hosts.a.announce(make_announcement(1, 1), from_count(10)));
    deliver(hosts.b, "a", hosts.a.tick(from_count(500)), 500);
    CHECK(hosts.b.is_usable("minion-1", from_count(500)));
    const auto left = hosts.a.announce(make_announcement(1, 2, true), from_count(600));
    deliver(hosts.b, "a", left.effects, 601);
    CHECK_FALSE(hosts.b.is_usable("minion-1", from_count(601)));
}

struct delay_case {
    std::string_view name;
    std::int64_t arrives_ms;
    bool usable_on_arrival;
};

// Guards against leases that are extended by the delay of a peer's message. The target announces
// itself at 10 ms, and the message is sent at 500 ms.
TEST_CASE("a lease ends at the same time whatever the delay of its message") {
    // 3,010 ms, less the margin of 30 ms and up to 20 ms by which the age is rounded up.
    constexpr auto peer_lease_end = from_count(2970);
    constexpr auto own_lease_end = from_count(3010);
    constexpr duration_ms one{1};
    constexpr std::array cases{delay_case{"fast", 500, true}, delay_case{"slow", 1700, true},
                               delay_case{"slower than the lease", 3500, false}};
    for (const auto& test : cases) {
        CAPTURE(test.name);
        host_pair hosts;
        static_cast<void>(hosts.a.announce(make_announcement(1, 1), from_count(10)));
        deliver(hosts.b, "a", hosts.a.tick(from_count(500)), test.arrives_ms);
        const auto arrival = from_count(test.arrives_ms);
        const auto end = std::max(arrival, peer_lease_end);
        CHECK(hosts.b.is_usable("minion-1", arrival) == test.usable_on_arrival);
        CHECK(hosts.b.is_usable("minion-1", std::max(arrival, end - one)) ==
              test.usable_on_arrival);
        CHECK_FALSE(hosts.b.is_usable("minion-1", end));
        CHECK(hosts.a.is_usable("minion-1", own_lease_end - one));
        CHECK_FALSE(hosts.a.is_usable("minion-1", own_lease_end));
    }
}

// Guards against unbounded memory when targets keep appearing under new names.
TEST_CASE("unusable targets are kept for a bounded time and up to a limit") {
    target_view<registry_rules> view;
    for (std::size_t index = 0; index < max_unusable + 5; ++index) {
        auto announcement = make_announcement(1, 1, true);
        announcement.name = "t" + std::to_string(index);
        view.apply(announcement, from_count(static_cast<std::int64_t>(index)));
    }
    auto present = make_announcement(1, 1);
    view.apply(present, from_count(0));
    view.renew(present.name, {1, 1}, from_count(20'000), {});
    view.drop_unusable(from_count(20'001));
    CHECK(view.entries().size() == max_unusable + 1);
    CHECK(view.find("t4") == nullptr);
    CHECK(view.find("t5") != nullptr);
    CHECK(view.find(present.name) != nullptr);
    view.drop_unusable(from_count(20'001) + unusable_retention);
    CHECK(view.entries().size() == 1);
}

// Guards against ages that don't fit into a byte and would be decoded as a recent announcement.
TEST_CASE("ages are rounded up and bounded") {
    struct age_case {
        std::int64_t age_ms;
        std::int64_t decoded_ms; ///< -1 for no lease.
    };
    constexpr std::array cases{age_case{0, 0},       age_case{1, 20},    age_case{20, 20},
                               age_case{5080, 5080}, age_case{5081, -1}, age_case{1'000'000, -1},
                               age_case{-100, -1}};
    for (const auto& test : cases) {
        CAPTURE(test.age_ms);
        const auto decoded = decode_age(encode_age(duration_ms{test.age_ms}));
        CHECK(decoded.value_or(duration_ms{-1}).count() == test.decoded_ms);
    }
}

} // namespace
} // namespace hawthornstall::membership
