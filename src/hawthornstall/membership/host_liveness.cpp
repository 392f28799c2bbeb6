#include "hawthornstall/membership/host_liveness.hpp"

#include <algorithm>

namespace hawthornstall::membership {

host_liveness::host_liveness(std::span<const std::string> peers) {
    for (const auto& name : peers) {
        peers_.emplace_back().name = name;
    }
}

std::vector<host_event> host_liveness::heard(std::string_view peer, std::uint64_t incarnation,
                                             core::time_ms now) {
    std::vector<host_event> events;
    auto* const state = find(peer);
    if (state == nullptr || incarnation < state->incarnation) {
        return events;
    }
    if (state->incarnation != 0 && incarnation > state->incarnation) {
        events.push_back({state->name, host_change::restarted});
    }
    if (!state->is_reachable) {
        events.push_back({state->name, host_change::reachable});
    }
    state->incarnation = incarnation;
    state->last_heard = now;
    state->is_reachable = true;
    return events;
}

void host_liveness::sent(std::string_view peer, core::time_ms now) {
    if (auto* const state = find(peer)) {
        state->last_sent = now;
        state->was_sent = true;
    }
}

liveness_effects host_liveness::tick(core::time_ms now) {
    liveness_effects effects;
    for (auto& peer : peers_) {
        if (peer.is_reachable && now - peer.last_heard >= unreachable_after) {
            peer.is_reachable = false;
            effects.events.push_back({peer.name, host_change::unreachable});
        }
        if (!peer.was_sent || now - peer.last_sent >= heartbeat_interval) {
            effects.heartbeats.push_back(peer.name);
            sent(peer.name, now);
        }
    }
    return effects;
}

bool host_liveness::is_reachable(std::string_view peer) const {
    const auto found = std::ranges::find(peers_, peer, &peer_state::name);
    return found != peers_.end() && found->is_reachable;
}

std::vector<std::string> host_liveness::reachable() const {
    std::vector<std::string> names;
    for (const auto& peer : peers_) {
        if (peer.is_reachable) {
            names.push_back(peer.name);
        }
    }
    return names;
}

host_liveness::peer_state* host_liveness::find(std::string_view peer) {
    const auto found = std::ranges::find(peers_, peer, &peer_state::name);
    return found == peers_.end() ? nullptr : &*found;
}

} // namespace hawthornstall::membership
