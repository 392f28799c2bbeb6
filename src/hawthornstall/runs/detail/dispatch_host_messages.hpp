#pragma once

/// Member functions of dispatch_host that handle messages from control hosts. Included by
/// dispatch_host.hpp only.

#include "hawthornstall/runs/dispatch_host.hpp"

#include <algorithm>
#include <utility>

namespace hawthornstall::runs {

template <dispatch_codec Codec>
void dispatch_host<Codec>::on_control_message(std::string_view host,
                                              const control::config_delta& delta) {
    const auto revision = documents_.revision();
    (void)documents_.apply(delta);
    if (documents_.revision() != revision) {
        // The new revision tells control hosts that have not sent the change yet to skip it.
        send_hellos();
    }
    apply_drains(host);
    const auto& config = documents_.numbered();
    if (config.version <= routes_.version) {
        return;
    }
    auto routes = codec_.decode_routes(config.content);
    if (!routes.ok()) {
        report_({.level = core::log_level::error,
                 .name = "config_not_decoded",
                 .peer = std::string{host},
                 .detail = core::describe(routes.status())});
        return;
    }
    routes_ = std::move(*routes);
    routes_.version = config.version;
    apply_caller_limits();
    report_({.name = "config_in_force",
             .peer = std::string{host},
             .detail = "version " + std::to_string(routes_.version)});
    retry_early_requests(now());
}

/// Passes the drained zones on when they have changed.
template <dispatch_codec Codec> void dispatch_host<Codec>::apply_drains(std::string_view host) {
    const auto& drains = documents_.drains();
    if (std::exchange(drains_revision_, drains.revision) == drains.revision) {
        return;
    }
    logic_.set_drained_zones(drains.zones);
    std::string zones;
    for (const auto& zone : drains.zones) {
        zones += (zones.empty() ? "" : " ") + zone;
    }
    report_({.name = "zone_drains_in_force",
             .peer = std::string{host},
             .detail = "drained zones: " + (zones.empty() ? "none" : zones) + ", revision " +
                       std::to_string(drains.revision)});
}

/// Applies the limits of the configuration to callers; what it does not state keeps its default.
template <dispatch_codec Codec> void dispatch_host<Codec>::apply_caller_limits() {
    // Smaller ones would refuse every caller.
    constexpr std::uint64_t smallest_bytes = 1'024;
    constexpr core::duration_ms shortest_idle_time{1'000};
    const auto& stated = routes_.limits;
    const auto& defaults = options_.limits;
    const auto largest = net::largest_request(defaults.connections);
    const auto choose = [&](std::uint64_t value, std::size_t by_default) {
        return value == 0 ? by_default
                          : static_cast<std::size_t>(
                                std::clamp<std::uint64_t>(value, smallest_bytes, largest));
    };
    caller_server_->set_request_limits(
        {.max_header_bytes = choose(stated.max_header_bytes, defaults.max_header_bytes),
         .max_body_bytes = choose(stated.max_body_bytes, defaults.max_body_bytes),
         .idle_time = stated.idle_time.count() == 0
                          ? defaults.read_timeout
                          : std::max(stated.idle_time, shortest_idle_time)});
}

template <dispatch_codec Codec>
void dispatch_host<Codec>::on_control_message(std::string_view host,
                                              const control::config_digest& digest) {
    // Control hosts know from the hellos what this host lacks, and one of them sends it. A request
    // to each of them would fill the link with copies of one configuration.
    if (documents_.check(digest, now()) == control::digest_outcome::differs) {
        subscribe(host, 0);
    }
}

template <dispatch_codec Codec>
void dispatch_host<Codec>::on_control_message(std::string_view /*host*/,
                                              const discovery::host_list& list) {
    for (const auto& host : list.entry_hosts) {
        links_->add({.name = host.name, .address = host.name});
    }
    on_input(control_hosts_changed{list.control_hosts});
}

template <dispatch_codec Codec>
void dispatch_host<Codec>::on_control_message(std::string_view host,
                                              const discovery::target_updates& updates) {
    for (const auto& record : updates.targets) {
        const auto* const known = logic_.directory().find(record.id);
        if (record.draining && known != nullptr && !known->draining) {
            report_({.name = "target_draining",
                     .peer = record.id,
                     .detail = "announced through " + std::string{host}});
        }
        logic_.directory().announce(record, now());
    }
    for (const auto& record : updates.departed) {
        logic_.directory().leave(record, now());
    }
}

} // namespace hawthornstall::runs
