#include "hawthornstall/control/election.hpp"

#include <doctest/doctest.h>

#include <array>
#include <limits>
#include <string_view>

namespace hawthornstall::control {
namespace {

constexpr log_position last_entry{.term = 3, .index = 7};

using core::duration_ms;

constexpr core::time_ms start_time = core::from_count(1'000'000);
constexpr duration_ms timeout{500};

struct campaign_case {
    std::string_view name;
    bool leader_seen;
    duration_ms earliest; ///< First campaign after the start or after the leader's last message.
    duration_ms latest;
};

// Guards against members that wait for a leader although the whole cluster has restarted, and
// against members that start an election too soon after the last message of their leader.
TEST_CASE("a member that has not seen a leader campaigns early") {
    constexpr std::array cases{
        campaign_case{"just started", false, timeout / 4, timeout / 2},
        campaign_case{"leader seen", true, timeout, 2 * timeout},
    };
    const member_id self{.host = "a", .storage_id = 1};
    const member_id other{.host = "b", .storage_id = 2};
    const member_set members{.voters = {self, other}, .learners = {}};
    for (const auto& item : cases) {
        for (std::uint64_t seed = 1; seed <= 50; ++seed) {
            CAPTURE(item.name);
            CAPTURE(seed);
            election vote{{.self = self, .cluster_id = 1, .term = 3, .voted_for = std::nullopt},
                          timeout,
                          seed,
                          start_time};
            if (item.leader_seen) {
                vote.observe_leader(other, 3, start_time);
            }
            const election_view view{
                .members = members, .last = last_entry, .acknowledged = last_entry};
            auto now = start_time;
            while (vote.tick(view, now).empty()) {
                now += duration_ms{1};
            }
            CHECK(now - start_time >= item.earliest);
            CHECK(now - start_time <= item.latest);
            CHECK(vote.role() == member_role::pre_candidate);
            CHECK(vote.term() == 3);
        }
    }
}

// Guards against members that start one election after the other without waiting for the votes of
// the last one. This happens when synced writes take longer than the time between the first
// campaigns.
TEST_CASE("the time between unsuccessful campaigns grows") {
    constexpr std::array shortest_gaps{timeout / 4, timeout / 2, timeout, 2 * timeout, 2 * timeout};
    const member_id self{.host = "a", .storage_id = 1};
    const member_id other{.host = "b", .storage_id = 2};
    const member_set members{.voters = {self, other}, .learners = {}};
    const election_view view{.members = members, .last = last_entry, .acknowledged = last_entry};
    for (std::uint64_t seed = 1; seed <= 50; ++seed) {
        CAPTURE(seed);
        election vote{{.self = self, .cluster_id = 1, .term = 3, .voted_for = std::nullopt},
                      timeout,
                      seed,
                      start_time};
        const auto next_campaign = [&](core::time_ms from) {
            auto now = from;
            do {
                now += duration_ms{1};
            } while (vote.tick(view, now).empty());
            return now;
        };
        auto last = next_campaign(start_time);
        for (const auto shortest : shortest_gaps) {
            const auto next = next_campaign(last);
            CHECK(next - last >= shortest);
            CHECK(next - last <= 2 * shortest);
            last = next;
        }
        vote.observe_leader(other, 3, last);
        CHECK(next_campaign(last) - last <= 2 * timeout);
    }
}

struct won_case {
    std::string_view name;
    std::size_t voters;
    int wins; ///< Elections that the member wins and steps down from, before the last campaign.
};

// Guards against a member that counts the elections it has won as unsuccessful campaigns, so that
// it waits longer and longer after it has stepped down.
TEST_CASE("a member that has stepped down campaigns after the normal wait") {
    constexpr std::array cases{won_case{"one voter", 1, 1}, won_case{"one voter", 1, 5},
                               won_case{"two voters", 2, 1}, won_case{"two voters", 2, 5}};
    const member_id self{.host = "a", .storage_id = 1};
    const member_id other{.host = "b", .storage_id = 2};
    for (const auto& item : cases) {
        const member_set members{.voters = item.voters == 1 ? std::vector{self}
                                                            : std::vector{self, other},
                                 .learners = {}};
        const election_view view{
            .members = members, .last = last_entry, .acknowledged = last_entry};
        for (std::uint64_t seed = 1; seed <= 50; ++seed) {
            CAPTURE(item.name);
            CAPTURE(item.wins);
            CAPTURE(seed);
            election vote{{.self = self, .cluster_id = 1, .term = 3, .voted_for = std::nullopt},
                          timeout,
                          seed,
                          start_time};
            auto now = start_time;
            const auto campaign = [&] {
                const auto from = now;
                while (vote.role() == member_role::follower) {
                    now += duration_ms{1};
                    static_cast<void>(vote.tick(view, now));
                }
                return now - from;
            };
            for (int win = 0; win < item.wins; ++win) {
                campaign();
                for (const bool pre_vote : {true, false}) {
                    const vote_reply granted{.pre_vote = pre_vote,
                                             .term = vote.term() + (pre_vote ? 1 : 0),
                                             .granted = true};
                    static_cast<void>(vote.handle_vote_reply(other, granted, view, now));
                }
                REQUIRE(vote.role() == member_role::leader);
                vote.step_down(now);
            }
            const auto waited = campaign();
            CHECK(waited >= timeout);
            CHECK(waited <= 2 * timeout);
        }
    }
}

struct lost_entries_case {
    std::string_view name;
    log_position acknowledged; ///< The log ends at `last_entry`.
    log_position candidate;    ///< Last entry of a member that asks for the vote.
    bool grants_vote;
    bool may_lead;
};

// Guards against a member with a damaged log that helps to elect, or becomes, a leader without
// entries that it has confirmed, and against one that is lost as a voter for a leader that has
// them.
TEST_CASE("a member that has lost entries votes for what it has confirmed") {
    constexpr auto unknown = std::numeric_limits<std::uint64_t>::max();
    constexpr std::array cases{
        lost_entries_case{"nothing lost", last_entry, last_entry, true, true},
        lost_entries_case{"nothing lost, candidate behind", last_entry, {3, 6}, false, true},
        lost_entries_case{"candidate with the same loss", {3, 9}, last_entry, false, false},
        lost_entries_case{"candidate has a part of them", {3, 9}, {3, 8}, false, false},
        lost_entries_case{"candidate has them all", {3, 9}, {3, 9}, true, false},
        lost_entries_case{"candidate of a later term", {3, 9}, {4, 8}, true, false},
        lost_entries_case{"end unknown, same term", {3, unknown}, {3, 100}, false, false},
        lost_entries_case{"end unknown, later term", {3, unknown}, {4, 8}, true, false},
    };
    const member_id self{.host = "a", .storage_id = 1};
    const member_id other{.host = "b", .storage_id = 2};
    const member_set members{.voters = {self, other}, .learners = {}};
    for (const auto& item : cases) {
        for (const bool pre_vote : {true, false}) {
            CAPTURE(item.name);
            CAPTURE(pre_vote);
            election vote{{.self = self, .cluster_id = 1, .term = 4, .voted_for = std::nullopt},
                          timeout,
                          1,
                          start_time};
            const election_view view{
                .members = members, .last = last_entry, .acknowledged = item.acknowledged};
            const auto reply = vote.handle_vote_request(
                other, {.pre_vote = pre_vote, .term = 5, .last = item.candidate}, view, start_time);
            REQUIRE(reply.has_value());
            CHECK(reply->granted == item.grants_vote);
            CHECK(vote.tick(view, start_time + 4 * timeout).empty() != item.may_lead);
        }
    }
}

} // namespace
} // namespace hawthornstall::control
