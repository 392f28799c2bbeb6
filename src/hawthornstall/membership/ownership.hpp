#pragma once

/// Choice of the entry host that owns a shard, that is a service in a zone.

#include "hawthornstall/core/weighted_rendezvous.hpp"

#include <span>
#include <string_view>

namespace hawthornstall::membership {

/// Owner of `service` in `zone` by weighted rendezvous hashing over `live_hosts`: the reachable
/// entry hosts of the zone, including the local one. Empty if there are none. Hosts whose views
/// differ may choose different owners for a while; fencing by epoch makes that safe.
[[nodiscard]] std::string_view owner_of(std::string_view service, std::string_view zone,
                                        std::span<const core::weighted_member> live_hosts);

} // namespace hawthornstall::membership
