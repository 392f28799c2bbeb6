#include "hawthornstall/runs/state_rows.hpp"

#include <doctest/doctest.h>

#include <array>
#include <string>
#include <string_view>

namespace hawthornstall::runs {
namespace {

constexpr core::time_ms start_time = core::from_count(1'000'000);

host_presence make_host(const std::string& name, std::vector<std::string> held = {}) {
    return {.host = {.name = name, .zone = "z", .weight = 0.25},
            .leaving = false,
            .held_targets = std::move(held)};
}

struct target_case {
    std::string_view name;
    bool is_held_elsewhere;
    bool is_draining;
    std::string_view holder;
    bool available;
    std::string_view reason;
};

// Guards against rows that do not name the lease holder of a target or why it gets no runs.
TEST_CASE("the row of a target has its holder and why it gets no runs") {
    constexpr std::array cases{
        target_case{"held", true, false, "b", true, ""},
        target_case{"held and draining", true, true, "b", false, "it is draining"},
        target_case{"not held", false, false, "", false, "no host holds it"},
    };
    for (const auto& item : cases) {
        CAPTURE(item.name);
        host_membership hosts{make_host("a")};
        hosts.on_presence(item.is_held_elsewhere ? make_host("b", {"w"}) : make_host("b"));
        discovery::target_directory directory;
        (void)directory.announce({.id = "w", .incarnation = 1, .draining = item.is_draining},
                                 start_time);
        const target_holder holder{{}, 0, start_time};
        const auto rows = target_rows(directory, holder, hosts);
        REQUIRE(rows.size() == 1);
        CHECK(rows[0].holder == item.holder);
        CHECK(rows[0].available == item.available);
        CHECK(rows[0].reason == item.reason);
    }
}

// Guards against status rows that name no scheduler or several.
TEST_CASE("exactly the scheduler has its role in its row") {
    host_membership hosts{make_host("b")};
    hosts.on_presence(make_host("a", {"w"}));
    const auto rows = host_rows(hosts);
    REQUIRE(rows.size() == 2);
    CHECK(rows[0].name == "b");
    CHECK(rows[0].role.empty());
    CHECK(rows[1].role == "scheduler");
    CHECK(rows[1].held_targets == 1);
}

} // namespace
} // namespace hawthornstall::runs
