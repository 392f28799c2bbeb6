#include "hawthornstall/discovery/announcement_relay.hpp"

#include <utility>

namespace hawthornstall::discovery {

void announcement_relay::hello(const host_record& host) {
    auto& known = hosts_[host.name];
    if (known != host) {
        known = host;
        new_hosts_.insert(host.name);
        host_list_changed_ = true;
    }
}

void announcement_relay::unreachable(std::string_view host) {
    const auto found = hosts_.find(host);
    if (found != hosts_.end()) {
        hosts_.erase(found);
        host_list_changed_ = true;
    }
    if (const auto new_host = new_hosts_.find(host); new_host != new_hosts_.end()) {
        new_hosts_.erase(new_host);
    }
}

void announcement_relay::announce(const target_record& record, core::time_ms now) {
    if (directory_.announce(record, now)) {
        pending_.targets.push_back(record);
    }
}

void announcement_relay::leave(std::string_view id, std::uint64_t incarnation, core::time_ms now) {
    const auto* const known = directory_.find(id);
    if (known == nullptr || (incarnation != 0 && incarnation < known->incarnation)) {
        return;
    }
    const target_record record = *known;
    directory_.leave(record, now);
    pending_.departed.push_back(record);
}

host_list announcement_relay::make_host_list(const std::vector<std::string>& control_hosts) const {
    host_list list{.entry_hosts = {}, .control_hosts = control_hosts};
    for (const auto& [name, host] : hosts_) {
        list.entry_hosts.push_back(host);
    }
    return list;
}

std::vector<relay_message> announcement_relay::tick(core::time_ms now,
                                                    const std::vector<std::string>& control_hosts) {
    std::vector<relay_message> messages;
    directory_.tick(now);
    if (host_list_changed_ || now >= host_list_due_) {
        host_list_due_ = now + host_list_interval;
        host_list_changed_ = false;
        const auto list = make_host_list(control_hosts);
        for (const auto& [name, host] : hosts_) {
            messages.push_back({name, list});
        }
    }
    if (now >= update_due_) {
        update_due_ = now + update_interval;
        const auto updates = std::exchange(pending_, {});
        const bool is_empty = updates.targets.empty() && updates.departed.empty();
        const auto new_hosts = std::exchange(new_hosts_, {});
        for (const auto& [name, host] : hosts_) {
            if (new_hosts.contains(name)) {
                messages.push_back(
                    {name, target_updates{.targets = directory_.targets(), .departed = {}}});
            } else if (!is_empty) {
                messages.push_back({name, updates});
            }
        }
    }
    return messages;
}

} // namespace hawthornstall::discovery
