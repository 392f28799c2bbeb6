#pragma once

/// Members of a cluster on a simulated network, shared by the tests of consensus_node.

#include "hawthornstall/control/consensus_node.hpp"
#include "hawthornstall/control/memory_storage.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <functional>
#include <memory>
#include <span>
#include <string>
#include <utility>
#include <vector>

namespace hawthornstall::control {

/// Time for three members to create a cluster and join it.
inline constexpr core::duration_ms join_time{8'000};

/// Time for a request and its reply, with the steps in which they are handled.
inline constexpr core::duration_ms round_trip{60};

/// Members on a network without message loss, in which single members can be partitioned.
class small_cluster {
public:
    explicit small_cluster(std::size_t count) {
        settings.accept_unlisted = true;
        settings.compact_after_entries = 4;
        for (std::size_t index = 0; index < count; ++index) {
            settings.hosts.push_back("control-" + std::to_string(index));
        }
        for (std::size_t index = 0; index < count; ++index) {
            add_host();
        }
    }

    /// Starts a host with an empty disk, which knows the hosts in `settings`.
    void add_host() {
        const auto index = nodes.size();
        auto disk = std::make_shared<memory_disk>();
        disk->state.self = {.host = "control-" + std::to_string(index), .storage_id = index + 1};
        disks.push_back(disk);
        nodes.emplace_back(memory_storage{disk}, settings, index + 1, now);
        partitioned.push_back(false);
    }

    /// Restarts every host with what is on its disk.
    void restart_all() {
        network.clear();
        for (std::size_t index = 0; index < nodes.size(); ++index) {
            restart(index);
        }
    }

    /// Restarts a host with what is on its disk.
    void restart(std::size_t index) {
        nodes[index] =
            consensus_node<memory_storage>{memory_storage{disks[index]}, settings, index + 1, now};
    }

    /// Restarts a host with an empty disk, as a new member that must not create a cluster.
    void lose_disk(std::size_t index) {
        const member_id lost = disks[index]->state.self;
        disks[index] = std::make_shared<memory_disk>();
        disks[index]->state.self = {.host = lost.host, .storage_id = lost.storage_id + 100};
        settings.may_create_cluster = false;
        restart(index);
    }

    [[nodiscard]] std::vector<std::size_t> reachable() const {
        std::vector<std::size_t> hosts;
        for (std::size_t index = 0; index < nodes.size(); ++index) {
            if (!partitioned[index]) {
                hosts.push_back(index);
            }
        }
        return hosts;
    }

    void run_for(core::duration_ms duration) {
        constexpr core::duration_ms step{10};
        for (const auto end = now + duration; now < end; now += step) {
            const auto arrived = std::exchange(network, {});
            for (const auto& message : arrived) {
                const auto target = index_of(message.to.host);
                if (!partitioned[target] && !partitioned[index_of(message.from.host)] &&
                    !is_lost(message)) {
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

    [[nodiscard]] std::vector<std::string> names_of(std::span<const std::size_t> indices) const {
        std::vector<std::string> names;
        for (const auto index : indices) {
            names.push_back(disks[index]->state.self.host);
        }
        return names;
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

    consensus_settings settings;
    core::time_ms now = core::from_count(1'000'000);
    std::vector<std::shared_ptr<memory_disk>> disks;
    std::vector<consensus_node<memory_storage>> nodes;
    std::vector<bool> partitioned;
    std::function<bool(const peer_message&)> is_lost = [](const peer_message&) {
        return false;
    };
    std::vector<peer_message> network;
};

} // namespace hawthornstall::control
