#include "hawthornstall/runs/dispatch_logic.hpp"

#include <doctest/doctest.h>

#include <array>
#include <string>
#include <string_view>
#include <vector>

namespace hawthornstall::runs {
namespace {

constexpr core::time_ms start_time = core::from_count(1'000'000);

/// Links whose peers have given no sign of life.
struct silent_links {
    [[nodiscard]] net::sign_of_life last_sign_of_life(std::string_view /*peer*/) const {
        return {};
    }
};

discovery::host_record make_host(const std::string& name) {
    return {.name = name, .zone = "bilbao", .weight = 1.0};
}

/// Receivers of a presence message, in order of their names.
std::vector<std::string> told_of_presence(const dispatch_effects& effects) {
    std::vector<std::string> told;
    for (const auto& [receiver, messages] : effects.messages) {
        for (const auto& message : messages) {
            if (std::holds_alternative<host_presence>(message)) {
                told.push_back(receiver);
            }
        }
    }
    return told;
}

struct link_case {
    std::string_view name;
    std::string peer;
    net::link_change change = net::link_change::reachable;
    std::vector<std::string> told;
};

// Guards against a number of messages that grows with the cube of the number of hosts when all of
// them start, or a zone returns: each host would announce itself to all others for each link.
TEST_CASE("a link that comes up announces this host to that peer alone") {
    const std::array cases{
        link_case{"new peer", "d", net::link_change::reachable, {"d"}},
        link_case{"known peer that has missed messages", "b", net::link_change::interrupted, {"b"}},
        link_case{"lost peer", "b", net::link_change::unreachable, {}},
    };
    for (const auto& item : cases) {
        CAPTURE(item.name);
        const silent_links links;
        dispatch_logic logic{make_host("a"), run_bounds{}, 1, 1, start_time};
        for (const auto* const peer : {"b", "c"}) {
            logic.link_changed(peer, net::link_change::reachable, start_time);
            logic.receive(peer, host_presence{.host = make_host(peer)}, links, start_time);
        }
        logic.tick(links, start_time, start_time);
        (void)logic.take_effects(start_time);

        logic.link_changed(item.peer, item.change, start_time);
        CHECK(told_of_presence(logic.take_effects(start_time)) == item.told);
    }
}

} // namespace
} // namespace hawthornstall::runs
