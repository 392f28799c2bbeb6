#include "hawthornstall/runs/host_membership.hpp"

#include "hawthornstall/core/weighted_rendezvous.hpp"

#include <algorithm>
#include <tuple>
#include <vector>

namespace hawthornstall::runs {
namespace detail {

/// The scheduler holds no targets in a zone with at least this many other hosts. In a smaller zone
/// its share would be a heavy load for the others.
constexpr std::size_t min_other_holders = 4;

std::optional<std::string> pick(std::string_view key,
                                std::span<const core::weighted_member> members) {
    const auto index = core::pick_owner(key, members);
    return index ? std::optional{members[*index].name} : std::nullopt;
}

} // namespace detail

void host_membership::on_presence(const host_presence& host) {
    const auto [position, is_new] = others_.try_emplace(host.host.name);
    auto& known = position->second;
    joins_ += is_new ? 1 : 0;
    if (known.held_targets != host.held_targets) {
        uncount_holder(known);
        count_holder(host);
    }
    known = host;
}

void host_membership::unreachable(std::string_view host) {
    const auto found = others_.find(host);
    if (found != others_.end()) {
        uncount_holder(found->second);
        others_.erase(found);
    }
}

void host_membership::count_holder(const host_presence& host) {
    for (const auto& target : host.held_targets) {
        ++holder_counts_[target];
    }
}

void host_membership::uncount_holder(const host_presence& host) {
    for (const auto& target : host.held_targets) {
        const auto found = holder_counts_.find(target);
        if (--found->second == 0) {
            holder_counts_.erase(found);
        }
    }
}

std::optional<std::string> host_membership::scheduler() const {
    const auto rank = [](const host_presence& host) {
        return std::tuple{-host.host.weight, -host.scheduling_for,
                          std::string_view{host.host.name}};
    };
    const host_presence* best = nullptr;
    const auto consider = [&](const host_presence& candidate) {
        if (!candidate.leaving && (best == nullptr || rank(candidate) < rank(*best))) {
            best = &candidate;
        }
    };
    consider(self_);
    for (const auto& [name, host] : others_) {
        consider(host);
    }
    return best == nullptr ? std::nullopt : std::optional{best->host.name};
}

bool host_membership::update_own_role(core::time_ms now) {
    if (scheduler() != self_.host.name) {
        scheduling_since_.reset();
        self_.scheduling_for = core::duration_ms{0};
        return false;
    }
    const bool begins = !scheduling_since_;
    scheduling_since_ = scheduling_since_.value_or(now);
    self_.scheduling_for = now - *scheduling_since_ + core::duration_ms{1};
    return begins;
}

std::optional<std::string> host_membership::preferred_holder(std::string_view target,
                                                             std::string_view zone) const {
    std::vector<core::weighted_member> all_hosts;
    std::vector<core::weighted_member> zone_hosts;
    const auto scheduling = scheduler();
    const auto add = [&](const host_presence& host) {
        if (host.leaving) {
            return;
        }
        const core::weighted_member member{host.host.name, host.host.weight};
        all_hosts.push_back(member);
        if (host.host.zone == zone) {
            zone_hosts.push_back(member);
        }
    };
    add(self_);
    for (const auto& [name, host] : others_) {
        add(host);
    }
    if (zone_hosts.size() > detail::min_other_holders) {
        std::erase_if(zone_hosts, [&](const core::weighted_member& member) {
            return member.name == scheduling;
        });
    }
    return detail::pick(target, zone_hosts.empty() ? all_hosts : zone_hosts);
}

bool host_membership::held_elsewhere(std::string_view target) const {
    return holder_counts_.contains(target);
}

} // namespace hawthornstall::runs
