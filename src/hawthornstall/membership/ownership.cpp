#include "hawthornstall/membership/ownership.hpp"

#include <string>

namespace hawthornstall::membership {

std::string_view owner_of(std::string_view service, std::string_view zone,
                          std::span<const core::weighted_member> live_hosts) {
    // Neither name contains a dot, so two different pairs never have the same key.
    std::string key{service};
    key.append(".").append(zone);
    const auto index = core::pick_owner(key, live_hosts);
    return index ? std::string_view{live_hosts[*index].name} : std::string_view{};
}

} // namespace hawthornstall::membership
