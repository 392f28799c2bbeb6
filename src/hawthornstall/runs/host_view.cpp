#include "hawthornstall/runs/host_view.hpp"

#include "hawthornstall/core/weighted_rendezvous.hpp"

#include <algorithm>
#include <tuple>
#include <vector>

namespace hawthornstall::runs {
namespace detail {

std::optional<std::string> pick(std::string_view key,
                                std::span<const core::weighted_member> members) {
    const auto index = core::pick_owner(key, members);
    return index ? std::optional{members[*index].name} : std::nullopt;
}

} // namespace detail

void host_view::unreachable(std::string_view host) {
    const auto found = others_.find(host);
    if (found != others_.end()) {
        others_.erase(found);
    }
}

std::optional<std::string> host_view::scheduler() const {
    const discovery::host_record* best = nullptr;
    const auto consider = [&best](const host_presence& candidate) {
        const auto& host = candidate.host;
        if (!candidate.leaving &&
            (best == nullptr || std::tuple{-host.weight, std::string_view{host.name}} <
                                    std::tuple{-best->weight, std::string_view{best->name}})) {
            best = &host;
        }
    };
    consider(self_);
    for (const auto& [name, host] : others_) {
        consider(host);
    }
    return best == nullptr ? std::nullopt : std::optional{best->name};
}

std::optional<std::string> host_view::preferred_holder(std::string_view target,
                                                       std::string_view zone) const {
    std::vector<core::weighted_member> everywhere;
    std::vector<core::weighted_member> nearby;
    const auto add = [&](const host_presence& host) {
        if (host.leaving) {
            return;
        }
        const core::weighted_member member{host.host.name, host.host.weight};
        everywhere.push_back(member);
        if (host.host.zone == zone) {
            nearby.push_back(member);
        }
    };
    add(self_);
    for (const auto& [name, host] : others_) {
        add(host);
    }
    return detail::pick(target, nearby.empty() ? everywhere : nearby);
}

bool host_view::held_elsewhere(std::string_view target) const {
    return std::ranges::any_of(others_, [&](const auto& item) {
        return std::ranges::find(item.second.held_targets, target) !=
               item.second.held_targets.end();
    });
}

} // namespace hawthornstall::runs
