#pragma once

/// Which entry hosts are reachable. Used to choose owners only; safety comes from fencing.

#include "hawthornstall/core/ms_clock.hpp"

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace hawthornstall::membership {

/// A peer that has been sent nothing for this time is sent a heartbeat.
constexpr core::duration_ms heartbeat_interval{500};

/// Silence after which a peer is unreachable: two lost heartbeats and some delay are tolerated.
constexpr core::duration_ms unreachable_after{1500};

/// What happened to a peer.
enum class host_change : std::uint8_t {
    reachable,
    unreachable,
    restarted, ///< A new incarnation was heard; what the old one knew is lost.
};

/// A change of one peer.
struct host_event {
    std::string host;
    host_change change = host_change::reachable;

    bool operator==(const host_event&) const = default;
};

/// What tick() wants done.
struct liveness_effects {
    std::vector<std::string> heartbeats; ///< Peers to send a heartbeat to.
    std::vector<host_event> events;
};

/// Follows a fixed set of peers. A peer is unreachable until it is first heard.
class host_liveness {
public:
    explicit host_liveness(std::span<const std::string> peers);

    /// Any message from `peer` counts. One of an older incarnation or of an unknown host is
    /// ignored.
    [[nodiscard]] std::vector<host_event> heard(std::string_view peer, std::uint64_t incarnation,
                                                core::time_ms now);

    /// Any message to `peer` replaces a heartbeat.
    void sent(std::string_view peer, core::time_ms now);

    /// To be called every 100 ms or so; bounds are exceeded by at most the interval of the calls.
    [[nodiscard]] liveness_effects tick(core::time_ms now);

    [[nodiscard]] bool is_reachable(std::string_view peer) const;

    /// Names of the peers that are reachable, in the order of construction.
    [[nodiscard]] std::vector<std::string> reachable() const;

private:
    struct peer_state {
        std::string name;
        std::uint64_t incarnation = 0;
        core::time_ms last_heard{};
        core::time_ms last_sent{};
        bool is_reachable = false;
        bool was_sent = false;
    };

    [[nodiscard]] peer_state* find(std::string_view peer);

    std::vector<peer_state> peers_;
};

} // namespace hawthornstall::membership
