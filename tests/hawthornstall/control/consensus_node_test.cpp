#include "hawthornstall/control/consensus_node.hpp"
#include "hawthornstall/control/memory_storage.hpp"
#include "hawthornstall/control/sample_edits.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <string>
#include <string_view>
#include <vector>

namespace hawthornstall::control {
namespace {

/// Members on a network without message loss, in which single members can be partitioned.
class small_cluster {
public:
    explicit small_cluster(std::size_t count) {
        consensus_settings settings;
        for (std::size_t index = 0; index < count; ++index) {
            settings.hosts.push_back("control-" + std::to_string(index));
        }
        settings.compact_after_entries = 4;
        for (std::size_t index = 0; index < count; ++index) {
            auto disk = std::make_shared<simulated_disk>();
            disk->state.self = {.host = settings.hosts[index], .storage_id = index + 1};
            nodes.emplace_back(memory_storage{disk}, settings, index + 1, now);
        }
        partitioned.resize(count);
    }

    void run_for(core::duration_ms duration) {
        constexpr core::duration_ms step{10};
        for (const auto end = now + duration; now < end; now += step) {
            const auto arrived = std::exchange(network, {});
            for (const auto& message : arrived) {
                const auto target = index_of(message.to.host);
                if (!partitioned[target] && !partitioned[index_of(message.from.host)]) {
                    nodes[target].receive(message, now);
                }
            }
            for (auto& node : nodes) {
                node.tick(now);
                auto effects = node.finish(now);
                REQUIRE(effects.ok());
                std::ranges::move(effects->messages, std::back_inserter(network));
            }
        }
    }

    [[nodiscard]] std::size_t leader() const {
        std::size_t found = nodes.size();
        for (std::size_t index = 0; index < nodes.size(); ++index) {
            if (nodes[index].is_leader() && !partitioned[index]) {
                found = index;
            }
        }
        REQUIRE(found < nodes.size());
        return found;
    }

    static std::size_t index_of(std::string_view host) {
        return static_cast<std::size_t>(host.back() - '0');
    }

    core::time_ms now = core::from_count(1'000'000);
    std::vector<consensus_node<memory_storage>> nodes;
    std::vector<bool> partitioned;
    std::vector<peer_message> network;
};

constexpr core::duration_ms join_time{8'000};
constexpr core::duration_ms round_trip{60};

struct size_case {
    std::size_t hosts;
    std::size_t lost; ///< Hosts partitioned after the start.
    bool has_quorum;  ///< Whether the others still commit.
};

// Guards against a cluster that commits with fewer hosts than a majority of its voters, or needs
// more.
TEST_CASE("a majority of the voters commits") {
    constexpr std::array cases{size_case{1, 0, true}, size_case{3, 1, true}, size_case{3, 2, false},
                               size_case{5, 2, true}, size_case{5, 3, false}};
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

} // namespace
} // namespace hawthornstall::control
