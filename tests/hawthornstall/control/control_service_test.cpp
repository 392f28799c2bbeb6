#include "hawthornstall/control/applied_documents.hpp"
#include "hawthornstall/control/control_service.hpp"
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

/// Three control hosts and one entry host on a network with 10 ms per hop.
class service_cluster {
public:
    service_cluster() {
        consensus_settings settings;
        settings.hosts = {"control-0", "control-1", "control-2"};
        for (const auto& host : settings.hosts) {
            auto disk = std::make_shared<memory_disk>();
            disk->state.self = {.host = host, .storage_id = services.size() + 1};
            auto replica = config_replica<memory_storage>::open(memory_storage{disk}, settings,
                                                                services.size() + 1, now);
            REQUIRE(replica.ok());
            services.emplace_back(std::move(*replica));
        }
        run_for(core::duration_ms{8'000});
    }

    void run_for(core::duration_ms duration) {
        constexpr core::duration_ms step{10};
        for (const auto end = now + duration; now < end; now += step) {
            const auto arrived = std::exchange(network, {});
            for (const auto& [from, message] : arrived) {
                const auto target = index_of(message.host);
                if (!partitioned[target] && !partitioned[from]) {
                    services[target].receive_from_control("control-" + std::to_string(from),
                                                          message.message, now);
                }
            }
            for (std::size_t index = 0; index < services.size(); ++index) {
                services[index].tick(now);
                auto output = services[index].finish(now);
                REQUIRE(output.ok());
                for (auto& message : output->to_control) {
                    network.emplace_back(index, std::move(message));
                }
                for (const auto& message : output->to_entry) {
                    std::visit([&](const auto& content) { receive(content); }, message.message);
                }
            }
        }
    }

    /// The entry host confirms to each control host what it has received.
    void send_hellos() {
        const discovery::host_hello hello{.host = {.name = "entry-1", .zone = "a"},
                                          .config_revision = copy.revision()};
        for (auto& service : services) {
            service.receive_from_entry("entry-1", hello, now);
        }
    }

    void receive(const config_delta& delta) {
        if (deltas_to_drop > 0) {
            --deltas_to_drop;
            return;
        }
        deltas += delta.to_revision > 0 ? 1 : 0;
        if (!copy.apply(delta).empty()) {
            applied_at = now;
        }
    }
    void receive(const config_digest& digest) {
        ++digests;
        last_check = copy.check(digest, now);
    }
    void receive(const edit_reply& reply) { edits.push_back(reply); }
    void receive(const audit_reply& reply) { audits.push_back(reply); }
    void receive(const numbered_config_reply& state) { states.push_back(state); }
    void receive(const discovery::host_list& list) { lists.push_back(list); }
    void receive(const discovery::target_updates& updates) { this->updates.push_back(updates); }

    [[nodiscard]] std::size_t leader() const {
        const auto found = std::ranges::find_if(
            services, [](const auto& service) { return service.replica().node().is_leader(); });
        REQUIRE(found != services.end());
        return static_cast<std::size_t>(found - services.begin());
    }

    static std::size_t index_of(std::string_view host) {
        return static_cast<std::size_t>(host.back() - '0');
    }

    core::time_ms now = core::from_count(1'000'000);
    std::vector<control_service<memory_storage>> services;
    std::array<bool, 3> partitioned{};
    std::vector<std::pair<std::size_t, to_control_host>> network;
    applied_documents copy;
    core::time_ms applied_at{};
    int digests = 0;
    int deltas = 0;         ///< Received deltas that contain changes.
    int deltas_to_drop = 0; ///< Number of next deltas that the network loses.
    digest_outcome last_check = digest_outcome::differs;
    std::vector<edit_reply> edits;
    std::vector<audit_reply> audits;
    std::vector<numbered_config_reply> states;
    std::vector<discovery::host_list> lists;
    std::vector<discovery::target_updates> updates;
};

struct route_case {
    std::string_view name;
    bool edit_at_leader;
    bool subscribe_at_leader;
};

// Guards against edits that only the leader accepts, and against entry hosts that learn of an edit
// only from the digest a second later.
TEST_CASE("an edit through any control host reaches every subscriber at once") {
    constexpr std::array cases{
        route_case{"both at the leader", true, true}, route_case{"edit forwarded", false, true},
        route_case{"subscribed to a follower", true, false}, route_case{"neither", false, false}};
    for (const auto& test : cases) {
        CAPTURE(test.name);
        service_cluster cluster;
        const auto leader = cluster.leader();
        const auto follower = (leader + 1) % 3;
        cluster.services[test.subscribe_at_leader ? leader : follower].receive_from_entry(
            "entry-1", config_subscribe{}, cluster.now);
        cluster.run_for(core::duration_ms{20});
        const auto sent = cluster.now;
        auto& receiver = cluster.services[test.edit_at_leader ? leader : follower];
        receiver.receive_from_entry("entry-1", edit_request{7, make_edit("e", 0)}, cluster.now);
        cluster.run_for(core::duration_ms{100});
        REQUIRE(cluster.edits.size() == 1);
        CHECK(cluster.edits[0].number == 7);
        CHECK(cluster.edits[0].answer == edit_answer{edit_result::accepted, 1});
        CHECK(cluster.copy.revision() == 1);
        MESSAGE(test.name << ": applied after " << (cluster.applied_at - sent).count() << " ms");
        CHECK(cluster.applied_at - sent <= core::duration_ms{50});
        cluster.run_for(core::duration_ms{1'000});
        CHECK(cluster.last_check == digest_outcome::confirmed);

        receiver.receive_from_entry("entry-1", audit_request{8, 0, 10}, cluster.now);
        cluster.run_for(core::duration_ms{100});
        REQUIRE(cluster.audits.size() == 1);
        CHECK(cluster.audits[0].number == 8);
        CHECK(cluster.audits[0].records.size() == 1);
    }
}

struct numbered_case {
    std::string_view name;
    std::vector<std::uint64_t> versions; ///< In the order in which they are sent.
    std::uint64_t in_force = 0;
};

// Guards against an older configuration that replaces a newer one, against other content under the
// current version, and against a valid configuration that is refused.
TEST_CASE("the highest version of a numbered configuration is in force everywhere") {
    const std::array cases{
        numbered_case{"one", {7}, 7},
        numbered_case{"rising", {7, 9, 12}, 12},
        numbered_case{"an older one again", {7, 9, 7}, 9},
        numbered_case{"the same version with other content", {7, 7}, 7},
    };
    for (const auto& test : cases) {
        CAPTURE(test.name);
        service_cluster cluster;
        cluster.services[0].receive_from_entry("entry-1", config_subscribe{}, cluster.now);
        std::uint64_t number = 0;
        for (const auto version : test.versions) {
            ++number;
            numbered_config config{.version = version,
                                   .content =
                                       std::to_string(version) + "#" + std::to_string(number),
                                   .actor = "operator",
                                   .host = "control"};
            cluster.services[number % 3].receive_from_entry(
                "entry-1", numbered_config_put{number, std::move(config)}, cluster.now);
            cluster.run_for(core::duration_ms{200});
        }
        REQUIRE(cluster.edits.size() == test.versions.size());
        for (const auto& reply : cluster.edits) {
            REQUIRE(reply.answer.has_value());
            CHECK(reply.answer->result == edit_result::accepted);
        }
        CHECK(cluster.copy.numbered().version == test.in_force);
        for (std::size_t host = 0; host < cluster.services.size(); ++host) {
            cluster.services[host].receive_from_entry("entry-1", numbered_config_read{host},
                                                      cluster.now);
        }
        cluster.run_for(core::duration_ms{200});
        REQUIRE(cluster.states.size() == 3);
        for (const auto& state : cluster.states) {
            REQUIRE(state.config.has_value());
            CHECK(*state.config == cluster.copy.numbered());
            const auto first = std::ranges::find(test.versions, test.in_force);
            const auto place = first - test.versions.begin() + 1;
            CHECK(state.config->content ==
                  std::to_string(test.in_force) + "#" + std::to_string(place));
        }
    }
}

// Guards against an entry host that keeps an old configuration forever: its subscription was
// dropped while its process was suspended, and it did not notice that it had been silent.
TEST_CASE("a hello renews a subscription that was dropped") {
    service_cluster cluster;
    const discovery::host_hello hello{.host = {.name = "entry-1", .zone = "a"},
                                      .config_revision = 0};
    cluster.services[0].receive_from_entry("entry-1", config_subscribe{}, cluster.now);
    cluster.services[0].entry_unreachable("entry-1");
    cluster.services[1].receive_from_entry(
        "entry-2", numbered_config_put{1, {.version = 7, .content = "seven"}}, cluster.now);
    cluster.run_for(core::duration_ms{200});
    CHECK(cluster.copy.numbered().version == 0);
    cluster.services[0].receive_from_entry("entry-1", hello, cluster.now);
    cluster.run_for(core::duration_ms{200});
    CHECK(cluster.copy.numbered().version == 7);
}

struct push_case {
    std::string_view name;
    int lost;                  ///< Messages with the change that do not arrive.
    int expected;              ///< Messages with the change that do.
    core::duration_ms at_most; ///< Until the change has arrived.
};

// Guards against every control host sending a large configuration at the same time, and against a
// configuration that does not arrive because the leader cannot reach the entry host.
TEST_CASE("the leader sends a change first, and others only if it does not arrive") {
    constexpr std::array cases{
        push_case{"arrives", 0, 1, core::duration_ms{50}},
        push_case{"the leader's message is lost", 1, 1, core::duration_ms{400}}};
    for (const auto& item : cases) {
        CAPTURE(item.name);
        service_cluster cluster;
        cluster.send_hellos();
        cluster.run_for(core::duration_ms{500});
        cluster.deltas = 0;
        cluster.deltas_to_drop = item.lost;
        const auto sent = cluster.now;
        cluster.services[0].receive_from_entry(
            "entry-2", numbered_config_put{1, {.version = 7, .content = "seven"}}, cluster.now);
        for (int count = 0; count < 10; ++count) {
            cluster.run_for(core::duration_ms{100});
            if (cluster.copy.revision() > 0) {
                cluster.send_hellos();
            }
        }
        CHECK(cluster.copy.numbered().version == 7);
        CHECK(cluster.deltas == item.expected);
        CHECK(cluster.applied_at - sent <= item.at_most);
    }
}

// Guards against configurations that queue up at the leader while an entry host receives the first
// of them: its link carried versions that were out of date, and other hosts counted as lost.
TEST_CASE("an entry host that has not confirmed a change is sent only the newest one after it") {
    service_cluster cluster;
    cluster.send_hellos();
    cluster.run_for(core::duration_ms{500});
    cluster.deltas = 0;
    constexpr std::uint64_t changes = 8;
    for (std::uint64_t version = 1; version <= changes; ++version) {
        cluster.services[0].receive_from_entry(
            "entry-2", numbered_config_put{version, {.version = version, .content = "c"}},
            cluster.now);
        cluster.run_for(core::duration_ms{30});
    }
    CHECK(cluster.edits.size() == changes);
    CHECK(cluster.deltas == 1);
    CHECK(cluster.copy.numbered().version == 1);
    cluster.send_hellos();
    cluster.run_for(core::duration_ms{30});
    CHECK(cluster.deltas == 2);
    CHECK(cluster.copy.numbered().version == changes);
}

// Guards against a change that is never answered because the leader refuses it.
TEST_CASE("a change beyond the limit of uncommitted ones is answered at once") {
    constexpr std::size_t content_bytes = 1'000'000;
    constexpr std::size_t count = 30;
    service_cluster cluster;
    const auto leader = cluster.leader();
    cluster.partitioned[(leader + 1) % 3] = cluster.partitioned[(leader + 2) % 3] = true;
    for (std::uint64_t number = 1; number <= count; ++number) {
        cluster.services[leader].receive_from_entry(
            "entry-1",
            numbered_config_put{number,
                                {.version = number, .content = std::string(content_bytes, 'x')}},
            cluster.now);
    }
    cluster.run_for(core::duration_ms{10});
    const auto limit = consensus_settings{}.max_uncommitted_bytes / content_bytes + 1;
    CHECK(cluster.edits.size() >= count - limit);
    CHECK(cluster.edits.size() < count);
    for (const auto& reply : cluster.edits) {
        CHECK_FALSE(reply.answer.has_value());
    }
}

// Guards against a read from a control host that does not know of newer changes.
TEST_CASE("a cut-off control host confirms no read") {
    for (const bool is_leader : {true, false}) {
        CAPTURE(is_leader);
        service_cluster cluster;
        const auto index = is_leader ? cluster.leader() : (cluster.leader() + 1) % 3;
        cluster.partitioned[index] = true;
        cluster.services[index].receive_from_entry("entry-1", numbered_config_read{1}, cluster.now);
        cluster.run_for(core::duration_ms{5'000});
        cluster.services[index].receive_from_entry("entry-1", numbered_config_read{2}, cluster.now);
        cluster.run_for(core::duration_ms{100});
        for (const auto& state : cluster.states) {
            CHECK_FALSE(state.config.has_value());
        }
        CHECK(std::ranges::any_of(
            cluster.states, [](const numbered_config_reply& state) { return state.number == 2; }));
    }
}

// Guards against a partitioned control host that keeps its subscribers and answers them.
TEST_CASE("a partitioned control host accepts no edits and sends no digests") {
    for (const bool is_leader : {true, false}) {
        CAPTURE(is_leader);
        service_cluster cluster;
        const auto index = is_leader ? cluster.leader() : (cluster.leader() + 1) % 3;
        auto& service = cluster.services[index];
        service.receive_from_entry("entry-1", config_subscribe{}, cluster.now);
        cluster.run_for(core::duration_ms{1'500});
        CHECK(cluster.digests > 0);
        cluster.partitioned[index] = true;
        service.receive_from_entry("entry-1", edit_request{1, make_edit("e", 0)}, cluster.now);
        cluster.run_for(core::duration_ms{5'000});
        service.receive_from_entry("entry-1", edit_request{2, make_edit("f", 0)}, cluster.now);
        service.receive_from_entry("entry-1", audit_request{3, 0, 10}, cluster.now);
        cluster.digests = 0;
        cluster.run_for(core::duration_ms{5'000});
        CHECK(cluster.digests == 0);
        CHECK(cluster.audits.empty());
        for (const auto& reply : cluster.edits) {
            CHECK_FALSE(reply.answer.has_value());
        }
        CHECK(std::ranges::any_of(cluster.edits,
                                  [](const edit_reply& reply) { return reply.number == 2; }));
        CHECK(cluster.copy.may_be_stale(cluster.now));
    }
}

} // namespace
} // namespace hawthornstall::control
