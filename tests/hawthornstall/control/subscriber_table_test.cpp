#include "hawthornstall/control/subscriber_table.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace hawthornstall::control {
namespace {

constexpr auto start = core::from_count(1'000'000);
constexpr std::size_t config_bytes = 240'000;

constexpr core::time_ms at(std::int64_t milliseconds) {
    return start + core::duration_ms{milliseconds};
}

push_state leader_with(std::uint64_t revision) {
    return {.revision = revision, .change_bytes = config_bytes, .follower = std::nullopt};
}

struct confirmation_case {
    std::string_view name;
    bool confirms;                          ///< The entry host sends hellos.
    std::optional<std::uint64_t> confirmed; ///< Revision in its hello at 200 ms.
    std::int64_t asked_at;                  ///< Time in ms at which the table is asked again.
    std::optional<std::uint64_t> expected;  ///< Revision from which a change is sent then.
};

// Guards against each version of a large configuration being queued for an entry host whose link
// carries the first one, and against a lost change that is never sent again.
TEST_CASE("the next change follows the confirmation of the last one") {
    constexpr std::array cases{
        confirmation_case{"not confirmed", true, std::nullopt, 400, std::nullopt},
        confirmation_case{"confirmed", true, 5, 400, 5},
        confirmation_case{"an earlier one confirmed", true, 4, 400, std::nullopt},
        confirmation_case{"confirmed with a later one", true, 9, 400, std::nullopt},
        confirmation_case{"not confirmed for long", true, std::nullopt, 3'000, 3},
        confirmation_case{"without hellos", false, std::nullopt, 10, 5}};
    for (const auto& test : cases) {
        CAPTURE(test.name);
        subscriber_table table;
        if (test.confirms) {
            table.confirm("entry-1", 3, start);
        } else {
            table.subscribe("entry-1", 3, start);
        }
        const auto first = table.take_due(leader_with(5), start);
        REQUIRE(first.size() == 1);
        CHECK(first[0].from_revision == 3);
        if (test.confirmed) {
            table.confirm("entry-1", *test.confirmed, at(200));
        }
        const auto next = table.take_due(leader_with(8), at(test.asked_at));
        REQUIRE(next.size() == (test.expected ? 1 : 0));
        CHECK((next.empty() || next[0].from_revision == test.expected));
    }
}

struct follower_case {
    std::string_view name;
    std::size_t change_bytes;
    std::size_t followers;
    std::optional<std::int64_t> progress_at; ///< Time in ms at which the leader's change arrives.
    std::int64_t until;                      ///< Time in ms for which the followers are asked.
    std::size_t expected;                    ///< Changes that they send.
};

// Guards against all followers sending one large configuration to a host whose link is slow, and
// against none of them sending it when the leader cannot reach the host.
TEST_CASE("followers send a change one after the other, while there is no progress") {
    constexpr std::array cases{
        follower_case{"the leader's change arrives", 100, 5, 200, 2'000, 0},
        follower_case{"one of two", 100, 2, std::nullopt, 400, 1},
        follower_case{"one of five", 100, 5, std::nullopt, 400, 1},
        follower_case{"two of five", 100, 5, std::nullopt, 700, 2},
        follower_case{"all of five", 100, 5, std::nullopt, 1'600, 5},
        follower_case{"a large change is on its way", config_bytes, 5, std::nullopt, 500, 0},
        follower_case{"a large change is late", config_bytes, 5, std::nullopt, 600, 1}};
    for (const auto& test : cases) {
        CAPTURE(test.name);
        std::vector<subscriber_table> tables(test.followers);
        for (auto& table : tables) {
            table.confirm("entry-1", 3, start);
        }
        std::size_t sent = 0;
        for (std::int64_t time = 0; time <= test.until; time += 50) {
            for (std::size_t index = 0; index < test.followers; ++index) {
                if (test.progress_at && time >= *test.progress_at) {
                    tables[index].confirm("entry-1", 5, at(time));
                }
                const push_state state{.revision = 5,
                                       .change_bytes = test.change_bytes,
                                       .follower = follower_place{index, test.followers}};
                sent += tables[index].take_due(state, at(time)).size();
            }
        }
        CHECK(sent == test.expected);
    }
}

// Guards against a request for everything, after a copy differed, that is answered with a part.
TEST_CASE("a follower answers a request at once and from the revision asked for") {
    subscriber_table table;
    table.confirm("entry-1", 5, start);
    table.subscribe("entry-1", 0, start);
    table.confirm("entry-1", 5, start);
    const push_state state{
        .revision = 5, .change_bytes = config_bytes, .follower = follower_place{1, 5}};
    const auto due = table.take_due(state, start);
    REQUIRE(due.size() == 1);
    CHECK(due[0].from_revision == 0);
    CHECK(table.take_due(state, at(5'000)).empty());
}

// Guards against a leader that queues a very large configuration for all entry hosts at the same
// time, and against hosts that never get their turn.
TEST_CASE("unconfirmed changes are limited in bytes and every host gets its turn") {
    constexpr std::size_t hosts = 100;
    constexpr std::size_t large = 8'000'000;
    const push_settings limits;
    subscriber_table table{limits};
    for (std::size_t host = 0; host < hosts; ++host) {
        table.confirm("entry-" + std::to_string(host), 1, start);
    }
    std::set<std::string> served;
    for (std::size_t turn = 0; turn < hosts; ++turn) {
        const push_state state{
            .revision = 2 + turn, .change_bytes = large, .follower = std::nullopt};
        const auto due = table.take_due(state, at(static_cast<std::int64_t>(turn)));
        CHECK(due.size() * large <= limits.max_unconfirmed_bytes);
        for (const auto& push : due) {
            served.insert(push.host);
            table.confirm(push.host, state.revision, at(static_cast<std::int64_t>(turn)));
        }
    }
    CHECK(served.size() == hosts);
}

} // namespace
} // namespace hawthornstall::control
