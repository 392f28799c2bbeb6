#include "hawthornstall/entry/host_directory.hpp"

#include "hawthornstall/membership/ownership.hpp"

#include <algorithm>
#include <utility>

namespace hawthornstall::entry {
namespace detail {

/// Replaces `best` by `host` if its notice claims the service with a higher epoch.
void keep_highest_epoch(std::optional<announced_owner>& best, std::string_view host,
                        const ownership_notice& notice, std::string_view service) {
    const auto owned = std::ranges::find(notice.owned, service, &owned_shard::service);
    if (owned != notice.owned.end() && (!best || owned->epoch > best->epoch)) {
        best = announced_owner{std::string{host}, owned->epoch, owned->generation};
    }
}

std::vector<std::string> service_names(const ownership_notice& notice) {
    std::vector<std::string> names(notice.owned.size());
    std::ranges::transform(notice.owned, names.begin(), &owned_shard::service);
    return names;
}

} // namespace detail

host_directory::host_directory(known_host self, std::vector<known_host> others,
                               core::time_ms started)
    : self_(std::move(self)), started_(started) {
    for (auto& other : others) {
        auto name = other.name;
        others_[std::move(name)].host = std::move(other);
    }
}

void host_directory::set_reachable(std::string_view host, bool reachable) {
    if (const auto found = others_.find(host); found != others_.end()) {
        found->second.reachable = reachable;
        found->second.notice_received = false;
        if (!reachable) {
            found->second.notice.owned.clear();
        }
    }
}

void host_directory::set_notice(std::string_view host, ownership_notice notice, core::time_ms now) {
    if (const auto found = others_.find(host); found != others_.end()) {
        found->second.notice_received = true;
        found->second.notice = std::move(notice);
        found->second.notice_received_at = now;
    }
}

void host_directory::set_own_notice(ownership_notice notice) {
    own_notice_ = std::move(notice);
}

std::optional<announced_owner> host_directory::find_owner(std::string_view service,
                                                          std::string_view zone) const {
    std::optional<announced_owner> best;
    if (zone == self_.zone) {
        detail::keep_highest_epoch(best, self_.name, own_notice_, service);
    }
    for (const auto& [name, state] : others_) {
        if (state.reachable && state.host.zone == zone) {
            detail::keep_highest_epoch(best, name, state.notice, service);
        }
    }
    return best;
}

bool host_directory::should_own(std::string_view service, core::time_ms now) const {
    if (own_notice_.draining || !may_take_ownership(now) || find_owner(service, self_.zone)) {
        return false;
    }
    std::vector<core::weighted_member> candidates{{self_.name, self_.weight}};
    for (const auto& [name, state] : others_) {
        if (state.host.zone == self_.zone && state.reachable && !state.notice.draining) {
            candidates.push_back({name, state.host.weight});
        }
    }
    return membership::owner_of(service, self_.zone, candidates) == self_.name;
}

bool host_directory::may_take_ownership(core::time_ms now) const {
    const bool all_notices_received = std::ranges::all_of(others_, [&](const auto& entry) {
        return entry.second.host.zone != self_.zone || entry.second.notice_received;
    });
    return all_notices_received || now - started_ >= initial_ownership_delay;
}

bool host_directory::knows_zone(std::string_view zone) const {
    return zone == self_.zone || std::ranges::any_of(others_, [&](const auto& entry) {
               return entry.second.host.zone == zone;
           });
}

bool host_directory::zone_is_reachable(std::string_view zone) const {
    return zone == self_.zone || std::ranges::any_of(others_, [&](const auto& entry) {
               return entry.second.host.zone == zone && entry.second.reachable;
           });
}

bool host_directory::is_reachable(std::string_view host) const {
    const auto found = others_.find(host);
    return host == self_.name || (found != others_.end() && found->second.reachable);
}

std::vector<std::string> host_directory::zone_peers() const {
    std::vector<std::string> names;
    for (const auto& [name, state] : others_) {
        if (state.host.zone == self_.zone) {
            names.push_back(name);
        }
    }
    return names;
}

std::vector<std::string> host_directory::all_peers() const {
    std::vector<std::string> names;
    names.reserve(others_.size());
    for (const auto& entry : others_) {
        names.push_back(entry.first);
    }
    return names;
}

std::vector<core::host_view> host_directory::view(core::time_ms now) const {
    std::vector<core::host_view> rows{{.name = self_.name,
                                       .zone = self_.zone,
                                       .reachable = true,
                                       .draining = own_notice_.draining,
                                       .config_revision = own_notice_.config_revision,
                                       .config_age = core::duration_ms{own_notice_.config_age_ms},
                                       .owned = detail::service_names(own_notice_)}};
    for (const auto& [name, state] : others_) {
        const auto& notice = state.notice;
        const auto age = notice.config_age_ms < 0 ? core::duration_ms{-1}
                                                  : core::duration_ms{notice.config_age_ms} +
                                                        (now - state.notice_received_at);
        rows.push_back({.name = name,
                        .zone = state.host.zone,
                        .reachable = state.reachable,
                        .draining = notice.draining,
                        .config_revision = notice.config_revision,
                        .config_age = age,
                        .owned = detail::service_names(notice)});
    }
    return rows;
}

} // namespace hawthornstall::entry
