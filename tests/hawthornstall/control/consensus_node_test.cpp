#include "hawthornstall/control/sample_edits.hpp"
#include "hawthornstall/control/small_cluster.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace hawthornstall::control {
namespace {

struct size_case {
    std::size_t hosts;
    std::size_t lost; ///< Hosts partitioned after the start.
    bool has_quorum;  ///< Whether the others still commit.
};

// Guards against a cluster that commits with fewer hosts than a majority of its voters, or needs
// more.
TEST_CASE("a majority of the voters commits") {
    constexpr std::array cases{size_case{1, 0, true},  size_case{3, 1, true},
                               size_case{3, 2, false}, size_case{4, 1, true},
                               size_case{4, 2, false}, size_case{5, 2, true},
                               size_case{5, 3, false}};
    for (const auto& test : cases) {
        CAPTURE(test.hosts);
        CAPTURE(test.lost);
        small_cluster cluster{test.hosts};
        cluster.run_for(join_time + test.hosts * core::duration_ms{1'000});
        CHECK(cluster.nodes[cluster.leader()].members().voters.size() == test.hosts);
        for (std::size_t lost = 0; lost < test.lost; ++lost) {
            cluster.partitioned[lost] = true;
        }
        cluster.run_for(core::duration_ms{6'000});
        const bool leads =
            std::ranges::any_of(cluster.nodes, [](const auto& node) { return node.is_leader(); });
        CHECK(leads == test.has_quorum);
        if (test.has_quorum) {
            auto& leader = cluster.nodes[cluster.leader()];
            const auto position = leader.propose(make_edit("e", 0));
            REQUIRE(position.has_value());
            cluster.run_for(2 * round_trip);
            CHECK(leader.commit_index() >= position->index);
        }
    }
}

// Guards against a partitioned leader that serves stale reads, or that deposes its successor when
// it is reachable again.
TEST_CASE("a partitioned leader confirms no reads and returns without an election") {
    small_cluster cluster{3};
    cluster.run_for(join_time);
    const auto old = cluster.leader();
    const auto confirmed = cluster.nodes[old].start_read(cluster.now);
    REQUIRE(confirmed.has_value());
    CHECK(cluster.nodes[old].check(*confirmed) == read_state::waiting);
    cluster.run_for(round_trip);
    CHECK(cluster.nodes[old].check(*confirmed) == read_state::confirmed);

    cluster.partitioned[old] = true;
    const auto unconfirmed = cluster.nodes[old].start_read(cluster.now);
    REQUIRE(unconfirmed.has_value());
    cluster.run_for(core::duration_ms{900});
    CHECK(cluster.nodes[old].check(*unconfirmed) == read_state::waiting);
    cluster.run_for(core::duration_ms{30'000});
    CHECK(cluster.nodes[old].check(*unconfirmed) == read_state::lost);
    CHECK_FALSE(cluster.nodes[old].propose(make_edit("e", 0)).has_value());

    const auto next = cluster.leader();
    const auto term = cluster.nodes[next].current_election().term();
    cluster.partitioned[old] = false;
    cluster.run_for(core::duration_ms{5'000});
    CHECK(cluster.leader() == next);
    CHECK(cluster.nodes[next].current_election().term() == term);
    CHECK(cluster.nodes[old].current_election().term() == term);
}

// Guards against a member that cannot catch up because it was unreachable during a compaction, and
// against a removed member that still counts as a voter.
TEST_CASE("a lagging member receives the snapshot and a removed one is no longer a voter") {
    small_cluster cluster{3};
    cluster.run_for(join_time);
    const auto leader = cluster.leader();
    const auto lagging = (leader + 1) % 3;
    cluster.partitioned[lagging] = true;
    for (int count = 0; count < 10; ++count) {
        CHECK(cluster.nodes[leader].propose(make_edit(std::to_string(count), 0)).has_value());
    }
    cluster.run_for(2 * round_trip);
    const auto commit = cluster.nodes[leader].commit_index();
    store_snapshot state;
    state.revision = 5;
    cluster.nodes[leader].compact(commit, state);
    CHECK(cluster.nodes[leader].storage().log().base().index == commit);
    cluster.partitioned[lagging] = false;
    cluster.run_for(core::duration_ms{2'000});
    CHECK(cluster.nodes[lagging].storage().load_snapshot()->state.revision == 5);
    CHECK(cluster.nodes[lagging].commit_index() >= commit);

    const auto removed = cluster.nodes[lagging].storage().state().self;
    cluster.partitioned[lagging] = true;
    CHECK(cluster.nodes[leader].remove(removed));
    CHECK_FALSE(cluster.nodes[leader].remove(removed));
    cluster.run_for(2 * round_trip);
    CHECK(cluster.nodes[leader].members().voters.size() == 2);
}

enum class replacement : std::uint8_t {
    planned,   ///< The new host starts, then the old one ends.
    unplanned, ///< The old host is lost, then the new one starts.
};

struct replacement_case {
    std::string_view name;
    std::size_t hosts;
    std::vector<replacement> replacements; ///< Of the hosts in the order of their age.
};

const std::array replacement_cases{
    replacement_case{"planned, then lost", 3, {replacement::planned, replacement::unplanned}},
    replacement_case{"lost, then planned", 3, {replacement::unplanned, replacement::planned}},
    replacement_case{"all of three lost in turn",
                     3,
                     {replacement::unplanned, replacement::unplanned, replacement::unplanned}},
    replacement_case{"all of three planned",
                     3,
                     {replacement::planned, replacement::planned, replacement::planned}},
    replacement_case{"four of five lost in turn",
                     5,
                     {replacement::unplanned, replacement::unplanned, replacement::unplanned,
                      replacement::unplanned}},
};

/// Time after which a replacement no longer counts as a lost host.
constexpr core::duration_ms catch_up_time{6'000};

/// Replaces `old` by a host that knows all others.
void replace_host(small_cluster& cluster, std::size_t old, replacement how) {
    cluster.settings.hosts = cluster.names_of(cluster.reachable());
    cluster.settings.may_create_cluster = false;
    if (how == replacement::planned) {
        cluster.add_host();
        cluster.run_for(core::duration_ms{3'000});
    }
    cluster.partitioned[old] = true;
    if (how == replacement::unplanned) {
        cluster.run_for(core::duration_ms{1'000});
        cluster.add_host();
    }
    cluster.run_for(catch_up_time);
}

// Guards against hosts that are gone for good and still count as voters: after two replacements the
// hosts that are left were no majority, and no change was accepted any more.
TEST_CASE("hosts that are replaced in turn leave the voters") {
    for (const auto& test : replacement_cases) {
        CAPTURE(test.name);
        small_cluster cluster{test.hosts};
        cluster.run_for(join_time + test.hosts * core::duration_ms{1'000});
        std::uint64_t committed = 0;
        for (std::size_t old = 0; old < test.replacements.size(); ++old) {
            CAPTURE(old);
            replace_host(cluster, old, test.replacements[old]);
            auto& leader = cluster.nodes[cluster.leader()];
            const auto position = leader.propose(make_edit("e", 0));
            REQUIRE(position.has_value());
            cluster.run_for(2 * round_trip);
            REQUIRE(leader.commit_index() >= position->index);
            CHECK(leader.members().voters.size() == test.hosts);
            for (const auto host : cluster.reachable()) {
                CHECK(is_voter(leader.members(), cluster.disks[host]->state.self));
            }
            committed = position->index;
        }
        cluster.restart_all();
        cluster.run_for(core::duration_ms{3'000});
        CHECK(cluster.nodes[cluster.leader()].commit_index() >= committed);
    }
}

struct known_host_case {
    std::string_view name;
    std::size_t after_leader; ///< Distance of the only known host from the leader.
};

// Guards against a new host that never joins because its settings name only hosts that don't lead.
TEST_CASE("a new host joins through any member that it knows") {
    constexpr std::array cases{known_host_case{"the leader", 0}, known_host_case{"a follower", 1},
                               known_host_case{"the other follower", 2}};
    for (const auto& test : cases) {
        CAPTURE(test.name);
        small_cluster cluster{3};
        cluster.run_for(join_time);
        const std::array known{(cluster.leader() + test.after_leader) % 3};
        cluster.settings.hosts = cluster.names_of(known);
        cluster.settings.may_create_cluster = false;
        cluster.add_host();
        cluster.run_for(core::duration_ms{3'000});
        const auto& members = cluster.nodes[cluster.leader()].members();
        CHECK(is_voter(members, cluster.disks.back()->state.self));
    }
}

enum class snapshot_loss : std::uint8_t {
    none,
    request,             ///< The snapshot does not arrive.
    request_and_process, ///< The receiver is restarted when the snapshot arrives.
    reply,               ///< The snapshot is installed, and the reply to it does not arrive.
};

struct snapshot_loss_case {
    std::string_view name;
    snapshot_loss loss;
};

constexpr std::array snapshot_loss_cases{
    snapshot_loss_case{"nothing is lost", snapshot_loss::none},
    snapshot_loss_case{"the snapshot is lost", snapshot_loss::request},
    snapshot_loss_case{"the receiver is restarted", snapshot_loss::request_and_process},
    snapshot_loss_case{"the reply is lost", snapshot_loss::reply},
};

/// Shortest time after which a host that lost its disk must be a voter again, since another one may
/// lose its disk then.
constexpr core::duration_ms shortest_catch_up_time{4'000};

/// Lets the first snapshot for `receiver`, or the reply to it, be lost.
void lose_snapshot(small_cluster& cluster, std::size_t receiver, snapshot_loss loss) {
    cluster.is_lost = [&cluster, receiver, loss, is_done = false,
                       is_sent = false](const peer_message& message) mutable {
        const auto& member = cluster.disks[receiver]->state.self;
        const bool is_snapshot =
            message.to == member && std::holds_alternative<snapshot_request>(message.body);
        const bool is_reply =
            is_sent && message.from == member && std::holds_alternative<append_reply>(message.body);
        is_sent = is_sent || is_snapshot;
        const bool is_chosen = loss == snapshot_loss::reply ? is_reply : is_snapshot;
        if (loss == snapshot_loss::none || !is_chosen || std::exchange(is_done, true)) {
            return false;
        }
        if (loss == snapshot_loss::request_and_process) {
            cluster.restart(receiver);
        }
        return true;
    };
}

// Guards against a cluster without a majority: a host that lost its disk did not become a voter in
// time, because its lost snapshot was sent again only after 10 s, and then another one lost its
// disk.
TEST_CASE("a host whose snapshot is lost votes before another host may lose its disk") {
    for (const auto& test : snapshot_loss_cases) {
        CAPTURE(test.name);
        small_cluster cluster{3};
        cluster.run_for(join_time);
        const auto first = (cluster.leader() + 1) % 3;
        const auto second = (cluster.leader() + 2) % 3;
        lose_snapshot(cluster, first, test.loss);
        for (const auto host : {first, second}) {
            CAPTURE(host);
            cluster.lose_disk(host);
            cluster.run_for(shortest_catch_up_time);
            CHECK(is_voter(cluster.nodes[cluster.leader()].members(),
                           cluster.disks[host]->state.self));
        }
        auto& leader = cluster.nodes[cluster.leader()];
        const auto position = leader.propose(make_edit("e", 0));
        REQUIRE(position.has_value());
        cluster.run_for(2 * round_trip);
        CHECK(leader.commit_index() >= position->index);
    }
}

struct founding_case {
    std::string_view name;
    std::size_t lost;                ///< Host that loses its disk.
    std::optional<std::size_t> slow; ///< Host that catches up late.
};

// Guards against a cluster that never decides again: while it was created it had two voters, and
// one of them lost its disk.
TEST_CASE("a disk lost at any moment of the creation leaves a majority") {
    constexpr std::array cases{
        founding_case{"no slow host", 1, std::nullopt}, founding_case{"the lost one is slow", 1, 1},
        founding_case{"the other one is slow", 1, 2}, founding_case{"the last one is lost", 2, 1}};
    constexpr core::duration_ms slow_until{2'000};
    constexpr core::duration_ms last_moment{4'000};
    constexpr core::duration_ms moment_step{50};
    for (const auto& test : cases) {
        CAPTURE(test.name);
        for (core::duration_ms moment{0}; moment <= last_moment; moment += moment_step) {
            CAPTURE(moment.count());
            small_cluster cluster{3};
            const auto start = cluster.now;
            cluster.is_lost = [&](const peer_message& message) {
                const auto* const request = std::get_if<append_request>(&message.body);
                return test.slow && cluster.now - start < slow_until && request != nullptr &&
                       !request->entries.empty() &&
                       small_cluster::index_of(message.to.host) == *test.slow;
            };
            cluster.run_for(moment);
            cluster.lose_disk(test.lost);
            cluster.run_for(join_time);
            auto& leader = cluster.nodes[cluster.leader()];
            const auto position = leader.propose(make_edit("e", 0));
            REQUIRE(position.has_value());
            cluster.run_for(2 * round_trip);
            CHECK(leader.commit_index() >= position->index);
            CHECK(leader.members().voters.size() == 3);
        }
    }
}

struct forgotten_case {
    std::string_view name;
    std::vector<std::uint64_t> cluster_ids; ///< Of each host, all of which have empty logs.
    bool creates_cluster;
};

// Guards against a second cluster, and so a second configuration log, that hosts create which have
// lost their membership in the first one.
TEST_CASE("only hosts that never belonged to a cluster create one") {
    constexpr auto lost = unknown_cluster_id;
    const std::array cases{
        forgotten_case{"all are new", {0, 0, 0}, true},
        forgotten_case{"the creating host has lost its membership", {lost, 0, 0}, false},
        forgotten_case{"another host has lost its membership", {0, 0, lost}, false},
        forgotten_case{"all have lost it", {lost, lost, lost}, false},
        forgotten_case{"another host belongs to a cluster", {0, 0, 7}, false},
    };
    for (const auto& test : cases) {
        CAPTURE(test.name);
        small_cluster cluster{3};
        for (std::size_t host = 0; host < 3; ++host) {
            cluster.disks[host]->state.cluster_id = test.cluster_ids[host];
            cluster.restart(host);
        }
        cluster.run_for(join_time);
        const bool has_leader =
            std::ranges::any_of(cluster.nodes, [](const auto& node) { return node.is_leader(); });
        CHECK(has_leader == test.creates_cluster);
    }
}

// Guards against a host that has lost its membership and is not admitted by the cluster that it
// belonged to.
TEST_CASE("a host that has lost its membership joins the existing cluster") {
    small_cluster cluster{3};
    cluster.run_for(join_time);
    const auto host = (cluster.leader() + 1) % 3;
    cluster.lose_disk(host);
    cluster.disks[host]->state.cluster_id = unknown_cluster_id;
    cluster.restart(host);
    cluster.run_for(join_time);
    const auto& leader = cluster.nodes[cluster.leader()];
    CHECK(is_voter(leader.members(), cluster.disks[host]->state.self));
    CHECK(cluster.disks[host]->state.cluster_id == leader.storage().state().cluster_id);
}

enum class log_loss : std::uint8_t {
    last_entry,
    half,       ///< Half of the entries after the snapshot.
    everything, ///< The log and the snapshot.
};

void lose_entries(memory_disk& disk, log_loss loss) {
    const auto base = disk.log.base().index;
    const auto last = disk.log.last().index;
    REQUIRE(last >= base + 2);
    switch (loss) {
    case log_loss::last_entry:
        return disk.lose_entries_after(last - 1);
    case log_loss::half:
        return disk.lose_entries_after(base + (last - base) / 2);
    case log_loss::everything:
        return disk.lose_all_entries();
    }
}

struct damage_case {
    std::string_view name;
    std::vector<std::size_t> damaged; ///< Distances of the damaged hosts from the leader.
    log_loss loss;
};

const std::array damage_cases{
    damage_case{"the leader, last entry", {0}, log_loss::last_entry},
    damage_case{"the leader, half", {0}, log_loss::half},
    damage_case{"the leader, everything", {0}, log_loss::everything},
    damage_case{"a follower, last entry", {1}, log_loss::last_entry},
    damage_case{"a follower, half", {1}, log_loss::half},
    damage_case{"a follower, everything", {1}, log_loss::everything},
    damage_case{"the leader and a follower, last entry", {0, 1}, log_loss::last_entry},
    damage_case{"the leader and a follower, half", {0, 1}, log_loss::half},
    damage_case{"the leader and a follower, everything", {0, 1}, log_loss::everything},
    damage_case{"both followers, last entry", {1, 2}, log_loss::last_entry},
    damage_case{"both followers, half", {1, 2}, log_loss::half},
    damage_case{"both followers, everything", {1, 2}, log_loss::everything},
    damage_case{"all three, last entry", {0, 1, 2}, log_loss::last_entry},
    damage_case{"all three, half", {0, 1, 2}, log_loss::half},
    damage_case{"all three, everything", {0, 1, 2}, log_loss::everything},
};

/// Commits entries on all hosts, with a snapshot of the first ones on the leader if `compacts`.
/// Returns the position of the last one.
log_position commit_entries(small_cluster& cluster, bool compacts) {
    constexpr int count = 8;
    auto& leader = cluster.nodes[cluster.leader()];
    log_position last;
    for (int entry = 0; entry < count; ++entry) {
        const auto position = leader.propose(make_edit(std::to_string(entry), 0));
        REQUIRE(position.has_value());
        last = *position;
    }
    cluster.run_for(core::duration_ms{1'000});
    for (auto& node : cluster.nodes) {
        REQUIRE(node.commit_index() == last.index);
        if (compacts) {
            node.compact(last.index - count / 2, store_snapshot{});
        }
    }
    return last;
}

void check_all_hold(const small_cluster& cluster, const log_position& position) {
    for (const auto& disk : cluster.disks) {
        CAPTURE(disk->state.self.host);
        CHECK(disk->log.term_at(position.index) == position.term);
        CHECK_FALSE(disk->has_lost_entries());
    }
}

void check_commits(small_cluster& cluster) {
    auto& leader = cluster.nodes[cluster.leader()];
    const auto position = leader.propose(make_edit("after the damage", 0));
    REQUIRE(position.has_value());
    cluster.run_for(2 * round_trip);
    CHECK(leader.commit_index() >= position->index);
}

/// Whether any host leads at any step of `duration`.
bool any_leads_within(small_cluster& cluster, core::duration_ms duration) {
    bool leads = false;
    for (const auto end = cluster.now + duration; cluster.now < end;) {
        cluster.run_for(core::duration_ms{10});
        leads = leads || std::ranges::any_of(cluster.nodes,
                                             [](const auto& node) { return node.is_leader(); });
    }
    return leads;
}

// Guards against a leader without committed entries after logs were damaged, against a cluster that
// stays without a leader although one log is whole, and against a log that is created again after
// all were damaged.
TEST_CASE("members with damaged logs elect only a leader that holds the committed entries") {
    for (const bool compacts : {false, true}) {
        for (const auto& test : damage_cases) {
            CAPTURE(compacts);
            CAPTURE(test.name);
            small_cluster cluster{3};
            cluster.run_for(join_time);
            const auto committed = commit_entries(cluster, compacts);
            const auto cluster_id = cluster.disks.front()->state.cluster_id;
            const auto leader = cluster.leader();
            for (const auto distance : test.damaged) {
                lose_entries(*cluster.disks[(leader + distance) % 3], test.loss);
            }
            cluster.restart_all();
            if (test.damaged.size() < 3) {
                cluster.run_for(core::duration_ms{6'000});
                check_all_hold(cluster, committed);
                check_commits(cluster);
                continue;
            }
            CHECK_FALSE(any_leads_within(cluster, core::duration_ms{30'000}));
            for (const auto& disk : cluster.disks) {
                CHECK(disk->state.cluster_id == cluster_id);
                CHECK(disk->log.last() < committed);
                CHECK(disk->acknowledged == committed);
            }
        }
    }
}

struct minority_case {
    std::string_view name;
    log_loss loss;
    bool is_leader_damaged; ///< Otherwise the follower that confirmed the entries.
};

// Guards against a leader without committed entries: of the two hosts that held them, one has lost
// them and the other one is away, so that the third one or the damaged one could be elected.
TEST_CASE("a damaged member and a lagging one elect no leader while the entries are away") {
    constexpr std::array cases{
        minority_case{"leader, last entry", log_loss::last_entry, true},
        minority_case{"leader, half", log_loss::half, true},
        minority_case{"leader, everything", log_loss::everything, true},
        minority_case{"follower, last entry", log_loss::last_entry, false},
        minority_case{"follower, half", log_loss::half, false},
        minority_case{"follower, everything", log_loss::everything, false},
    };
    for (const bool compacts : {false, true}) {
        for (const auto& test : cases) {
            CAPTURE(compacts);
            CAPTURE(test.name);
            small_cluster cluster{3};
            cluster.run_for(join_time);
            commit_entries(cluster, compacts);
            const auto leader = cluster.leader();
            const auto follower = (leader + 1) % 3;
            const auto lagging = (leader + 2) % 3;
            cluster.partitioned[lagging] = true;
            const auto position = cluster.nodes[leader].propose(make_edit("committed by two", 0));
            REQUIRE(position.has_value());
            cluster.run_for(2 * round_trip);
            REQUIRE(cluster.nodes[leader].commit_index() == position->index);

            const auto damaged = test.is_leader_damaged ? leader : follower;
            const auto away = test.is_leader_damaged ? follower : leader;
            lose_entries(*cluster.disks[damaged], test.loss);
            cluster.partitioned[lagging] = false;
            cluster.partitioned[away] = true;
            cluster.restart_all();
            CHECK_FALSE(any_leads_within(cluster, core::duration_ms{30'000}));

            cluster.partitioned[away] = false;
            cluster.run_for(core::duration_ms{6'000});
            check_all_hold(cluster, *position);
            check_commits(cluster);
        }
    }
}

// Guards against a leader that counts a follower's lost entries as still replicated and doesn't
// send them again.
TEST_CASE("a running leader sends the entries again that followers have lost") {
    for (const bool compacts : {false, true}) {
        for (const auto& test : damage_cases) {
            if (std::ranges::find(test.damaged, 0U) != test.damaged.end()) {
                continue; // The leader keeps running.
            }
            CAPTURE(compacts);
            CAPTURE(test.name);
            small_cluster cluster{3};
            cluster.run_for(join_time);
            const auto committed = commit_entries(cluster, compacts);
            const auto leader = cluster.leader();
            const auto term = cluster.nodes[leader].current_election().term();
            for (const auto distance : test.damaged) {
                const auto follower = (leader + distance) % 3;
                lose_entries(*cluster.disks[follower], test.loss);
                cluster.restart(follower);
            }
            cluster.run_for(core::duration_ms{2'000});
            CHECK(cluster.leader() == leader);
            CHECK(cluster.nodes[leader].current_election().term() == term);
            check_all_hold(cluster, committed);
            check_commits(cluster);
        }
    }
}

// Guards against changes that a leader commits alone while its cluster is created, and that are
// lost with its disk.
TEST_CASE("no change is accepted while a cluster of several hosts has one voter") {
    for (const std::size_t hosts : {1, 3}) {
        CAPTURE(hosts);
        small_cluster cluster{hosts};
        std::size_t accepted_alone = 0;
        for (const auto end = cluster.now + join_time; cluster.now < end;) {
            cluster.run_for(core::duration_ms{10});
            for (auto& node : cluster.nodes) {
                const bool is_alone = node.members().voters.size() == 1;
                accepted_alone += is_alone && node.propose(make_edit("e", 0)) ? 1 : 0;
            }
        }
        CHECK((accepted_alone > 0) == (hosts == 1));
    }
}

// Guards against a voter that was removed during an outage and doesn't return to the voters.
TEST_CASE("a voter that was removed while it was unreachable becomes a voter again") {
    small_cluster cluster{4};
    cluster.run_for(join_time + 4 * core::duration_ms{1'000});
    const auto away = (cluster.leader() + 1) % 4;
    cluster.partitioned[away] = true;
    cluster.run_for(catch_up_time);
    CHECK(cluster.nodes[cluster.leader()].members().voters.size() == 3);
    cluster.partitioned[away] = false;
    cluster.run_for(catch_up_time);
    CHECK(cluster.nodes[cluster.leader()].members().voters.size() == 4);
}

// Guards against a removed voter that asks only the hosts of its settings, which have been
// replaced.
TEST_CASE("a removed voter joins again although the hosts that it knew are gone") {
    small_cluster cluster{3};
    cluster.run_for(join_time);
    cluster.settings.hosts = {"control-0"};
    cluster.settings.may_create_cluster = false;
    cluster.add_host();
    cluster.run_for(core::duration_ms{3'000});
    constexpr std::size_t away = 3;
    cluster.partitioned[0] = true;
    cluster.run_for(catch_up_time);
    cluster.settings.hosts = cluster.names_of(cluster.reachable());
    cluster.add_host();
    cluster.run_for(core::duration_ms{3'000});
    cluster.partitioned[away] = true;
    cluster.run_for(catch_up_time);
    const auto self = cluster.disks[away]->state.self;
    CHECK_FALSE(is_member(cluster.nodes[cluster.leader()].members(), self));
    cluster.partitioned[away] = false;
    cluster.run_for(catch_up_time);
    CHECK(is_voter(cluster.nodes[cluster.leader()].members(), self));
}

} // namespace
} // namespace hawthornstall::control
