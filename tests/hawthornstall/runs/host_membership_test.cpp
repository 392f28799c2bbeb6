#include "hawthornstall/runs/host_membership.hpp"

#include <doctest/doctest.h>

#include <array>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace hawthornstall::runs {
namespace {

using core::duration_ms;

constexpr core::time_ms start_time = core::from_count(1'000'000);

host_presence make_host(const std::string& name, double weight, duration_ms scheduling_for = {},
                        bool leaving = false) {
    return {.host = {.name = name, .zone = "a", .weight = weight},
            .leaving = leaving,
            .scheduling_for = scheduling_for};
}

struct choice_case {
    std::string_view name;
    host_presence self;
    std::vector<host_presence> others;
    std::optional<std::string> expected;
};

// Guards against hosts that choose different schedulers from the same view, and against a host that
// returns with stale state and takes over from the current scheduler.
TEST_CASE("every host chooses the same scheduler") {
    constexpr duration_ms second{1'000};
    const std::array cases{
        choice_case{"alone", make_host("b", 0.2), {}, "b"},
        choice_case{"largest share", make_host("b", 0.2), {make_host("c", 0.3)}, "c"},
        choice_case{"first name", make_host("b", 0.2), {make_host("a", 0.2)}, "a"},
        choice_case{"equal share, the current scheduler",
                    make_host("b", 0.2, second),
                    {make_host("a", 0.2)},
                    "b"},
        choice_case{"equal share, longest in the role",
                    make_host("b", 0.2, second),
                    {make_host("a", 0.2, 2 * second)},
                    "a"},
        choice_case{"a host with a larger share joins",
                    make_host("b", 0.2, second),
                    {make_host("c", 0.3)},
                    "c"},
        choice_case{"leaving", make_host("b", 0.2), {make_host("a", 0.2, second, true)}, "b"},
        choice_case{"all leave", make_host("b", 0.2, second, true), {}, std::nullopt},
    };
    for (const auto& item : cases) {
        CAPTURE(item.name);
        host_membership view{item.self};
        for (const auto& other : item.others) {
            view.on_presence(other);
        }
        CHECK(view.scheduler() == item.expected);
    }
}

// Guards against a host that was partitioned or suspended and still counts the time since it was
// first chosen as the time for which it has scheduled.
TEST_CASE("a host that was partitioned restarts the time in its role") {
    host_membership view{make_host("b", 0.2)};
    CHECK(view.update_own_role(start_time));
    CHECK_FALSE(view.update_own_role(start_time + duration_ms{4'000}));
    CHECK(view.self().scheduling_for >= duration_ms{4'000});
    view.reset_own_role();
    CHECK(view.update_own_role(start_time + duration_ms{5'000}));
    CHECK(view.self().scheduling_for < duration_ms{100});
    view.on_presence(make_host("c", 0.2, duration_ms{2'000}));
    CHECK_FALSE(view.update_own_role(start_time + duration_ms{5'100}));
    CHECK(view.self().scheduling_for == duration_ms{0});
    CHECK(view.scheduler() == "c");
}

struct excluded_case {
    std::string_view name;
    int other_hosts; ///< In the zone of the scheduler.
    bool expected;   ///< Whether the scheduler holds targets.
};

// Load: many small tasks on hosts with narrow links. Guards against a scheduler whose link carries
// the starts of its own targets besides the grants and ends of all, and against a small zone in
// which the other hosts would have to hold all targets.
TEST_CASE("the scheduler holds no targets in a zone with enough other hosts") {
    constexpr std::array cases{
        excluded_case{"alone", 0, true},
        excluded_case{"three others", 3, true},
        excluded_case{"four others", 4, false},
        excluded_case{"nine others", 9, false},
    };
    for (const auto& item : cases) {
        CAPTURE(item.name);
        host_membership view{make_host("scheduler", 0.3)};
        for (int number = 0; number < item.other_hosts; ++number) {
            view.on_presence(make_host("b" + std::to_string(number), 0.2));
        }
        REQUIRE(view.scheduler() == "scheduler");
        bool holds = false;
        for (int number = 0; number < 200; ++number) {
            const auto holder = view.preferred_holder("w-" + std::to_string(number), "a");
            REQUIRE(holder.has_value());
            holds = holds || *holder == "scheduler";
        }
        CHECK(holds == item.expected);
    }
}

struct held_case {
    std::string_view name;
    std::vector<std::pair<std::string, std::vector<std::string>>> presences; ///< Host and targets.
    std::string unreachable; ///< Host that is lost at the end; empty for none.
    bool expected = false;   ///< Whether "w-1" is held by another host.
};

// Guards against a target that no host claims, because a host that has released it or is lost still
// counts as its holder, and against a claim that ends the runs of a holder that is alive.
TEST_CASE("a target is held elsewhere while a reachable host says that it holds it") {
    const std::array cases{
        held_case{"nobody", {{"b", {"w-2"}}}, "", false},
        held_case{"one host", {{"b", {"w-1", "w-2"}}}, "", true},
        held_case{"said again", {{"b", {"w-1"}}, {"b", {"w-1"}}}, "b", false},
        held_case{"released", {{"b", {"w-1", "w-2"}}, {"b", {"w-2"}}}, "", false},
        held_case{"released by one of two", {{"b", {"w-1"}}, {"c", {"w-1"}}, {"b", {}}}, "", true},
        held_case{"one of two is lost", {{"b", {"w-1"}}, {"c", {"w-1"}}}, "b", true},
        held_case{"lost", {{"b", {"w-1"}}}, "b", false},
        held_case{"an unknown host is lost", {{"b", {"w-1"}}}, "c", true},
    };
    for (const auto& item : cases) {
        CAPTURE(item.name);
        host_membership view{make_host("a", 0.2)};
        for (const auto& [name, targets] : item.presences) {
            auto host = make_host(name, 0.2);
            host.held_targets = targets;
            view.on_presence(host);
        }
        view.unreachable(item.unreachable);
        CHECK(view.held_elsewhere("w-1") == item.expected);
    }
}

} // namespace
} // namespace hawthornstall::runs
