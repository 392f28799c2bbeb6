#pragma once

/// Calls by which an operator drains an availability zone: a path that names the zone and the
/// order.

#include "hawthornstall/control/zone_drains.hpp"

#include <optional>
#include <string_view>

namespace hawthornstall::control {

/// The parts of the paths of one HTTP API: PREFIX ZONE SUFFIX.
struct zone_call_names {
    std::string_view prefix;
    std::string_view drain_suffix;
    std::string_view undrain_suffix;
};

/// Names of the product's own API, which hawthornstallctl uses.
constexpr zone_call_names own_zone_calls{
    .prefix = "/v1/zones/", .drain_suffix = "/drain", .undrain_suffix = "/undrain"};

/// The order that `path` names; empty for another path. Only zone and drained are set.
[[nodiscard]] std::optional<zone_drain_order> decode_zone_call(std::string_view path,
                                                               const zone_call_names& names);

} // namespace hawthornstall::control
