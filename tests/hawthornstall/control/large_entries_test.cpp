#include "hawthornstall/control/entry_size.hpp"
#include "hawthornstall/control/small_cluster.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <numeric>
#include <string>
#include <string_view>
#include <variant>

namespace hawthornstall::control {
namespace {

constexpr std::size_t config_bytes = 300'000;

/// Most bytes of entries in one message, unless a single entry is larger. Heartbeats wait behind
/// it: it takes 16 ms on a link of 1 Gbit/s.
constexpr std::size_t message_bytes = 2'000'000;

numbered_config make_config(std::uint64_t version) {
    return {.version = version, .content = std::string(config_bytes, 'x')};
}

std::size_t bytes_of_entries(const peer_message& message) {
    const auto* const request = std::get_if<append_request>(&message.body);
    if (request == nullptr) {
        return 0;
    }
    return std::accumulate(
        request->entries.begin(), request->entries.end(), std::size_t{0},
        [](std::size_t sum, const log_entry& entry) { return sum + entry_bytes(entry); });
}

// Guards against the loss of the configuration after many large changes: the log that a host with
// an empty disk has to receive went into one message, which was too large for the receiver.
TEST_CASE("a host with an empty disk receives a log of large entries in small messages") {
    constexpr std::uint64_t changes = 60;
    constexpr core::duration_ms catch_up_time{4'000};
    small_cluster cluster{3};
    cluster.run_for(join_time);
    for (std::uint64_t version = 1; version <= changes; ++version) {
        REQUIRE(cluster.nodes[cluster.leader()].propose(make_config(version)).has_value());
        cluster.run_for(2 * round_trip);
    }
    std::size_t largest = 0;
    cluster.is_lost = [&largest](const peer_message& message) {
        largest = std::max(largest, bytes_of_entries(message));
        return false;
    };
    const auto wiped = (cluster.leader() + 1) % 3;
    cluster.lose_disk(wiped);
    cluster.run_for(catch_up_time);
    CHECK(is_voter(cluster.nodes[cluster.leader()].members(), cluster.disks[wiped]->state.self));
    CHECK(largest > config_bytes);
    CHECK(largest <= message_bytes);
}

struct uncommitted_case {
    std::string_view name;
    std::size_t content_bytes;
};

// Guards against a leader without a majority whose log grows with each change until it steps down.
TEST_CASE("a leader refuses changes beyond its limit of uncommitted entries") {
    constexpr std::array cases{uncommitted_case{"large changes", config_bytes},
                               uncommitted_case{"one alone exceeds the limit", 20'000'000}};
    for (const auto& test : cases) {
        CAPTURE(test.name);
        small_cluster cluster{3};
        cluster.run_for(join_time);
        const auto leading = cluster.leader();
        auto& leader = cluster.nodes[leading];
        cluster.partitioned[(leading + 1) % 3] = cluster.partitioned[(leading + 2) % 3] = true;
        const auto propose = [&] {
            return leader.propose(
                numbered_config{.version = 1, .content = std::string(test.content_bytes, 'x')});
        };
        std::size_t accepted = 0;
        while (accepted < 1'000 && propose()) {
            ++accepted;
        }
        const auto limit = cluster.settings.max_uncommitted_bytes;
        CHECK(accepted >= 1);
        CHECK(leader.storage().log().bytes_after(leader.commit_index()) > limit);
        CHECK(leader.storage().log().bytes_after(leader.commit_index()) <=
              limit + 2 * test.content_bytes);

        cluster.partitioned.assign(3, false);
        cluster.run_for(core::duration_ms{8'000});
        REQUIRE(cluster.nodes[leading].is_leader());
        CHECK(propose().has_value());
    }
}

} // namespace
} // namespace hawthornstall::control
