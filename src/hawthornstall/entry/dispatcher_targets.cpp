/// Members of dispatcher that track the targets of the zone and pass them to the shards.

#include "hawthornstall/core/error.hpp"
#include "hawthornstall/entry/dispatcher.hpp"

#include <algorithm>
#include <utility>

namespace hawthornstall::entry {
namespace detail {

absl::Status to_status(membership::announce_result result, std::string_view target,
                       std::string_view zone) {
    const core::error_origin origin{.step = "announce_target", .peer = target};
    switch (result) {
    case membership::announce_result::accepted:
        return absl::OkStatus();
    case membership::announce_result::not_newer:
        return core::make_error(
            absl::StatusCode::kAborted, origin,
            "a later announcement of this target is known; raise the sequence, or "
            "the incarnation after a restart");
    case membership::announce_result::wrong_zone:
        return core::make_error(absl::StatusCode::kInvalidArgument, origin,
                                "this entry host serves zone \"" + std::string{zone} +
                                    "\"; announce to a host of the target's own zone");
    case membership::announce_result::full:
        break;
    }
    return core::make_error(
        absl::StatusCode::kResourceExhausted, origin,
        "the target table of this entry host is full; announce to another host");
}

bool runs_service(const membership::target_entry& entry, std::string_view service) {
    const auto& services = entry.announcement.services;
    return std::ranges::find(services, service) != services.end();
}

} // namespace detail

void dispatcher::process(const target_announced& target, times at) {
    auto announced = registry_.announce(target.announcement, at.now);
    const auto status =
        detail::to_status(announced.result, target.announcement.name, options_.self.zone);
    reply_to_front_end(target.from, request_done{target.from.request, status});
    carry_out(std::move(announced.effects));
    if (const auto* const entry = registry_.view().find(target.announcement.name)) {
        offer_if_changed(*entry, at);
    }
}

void dispatcher::receive(std::string_view peer, std::uint64_t incarnation,
                         const membership::message& message, times at) {
    carry_out(registry_.receive(peer, incarnation, message, at.now));
    offer_changed_targets(at);
}

void dispatcher::tick_targets(times at) {
    if (at.now >= next_target_tick_) {
        next_target_tick_ = at.now + membership::delta_interval;
        carry_out(registry_.tick(at.now));
        offer_changed_targets(at);
    }
}

void dispatcher::carry_out(membership::registry_effects effects) {
    for (auto& out : effects) {
        send(out.peer, std::move(out.body));
    }
}

void dispatcher::offer_changed_targets(times at) {
    for (const auto& [name, entry] : registry_.view().entries()) {
        offer_if_changed(entry, at);
    }
    if (offered_.size() > registry_.view().entries().size()) {
        withdraw_forgotten_targets(at);
    }
}

void dispatcher::withdraw_target(std::string_view name, std::span<const std::string> services,
                                 std::span<const std::string> still_listed, times at) {
    for (const auto& service : services) {
        auto* const owned = find_shard(service);
        if (owned != nullptr && std::ranges::find(still_listed, service) == still_listed.end()) {
            carry_out(*owned, owned->remove_target(name, at), at);
        }
    }
}

void dispatcher::withdraw_forgotten_targets(times at) {
    for (auto item = offered_.begin(); item != offered_.end();) {
        if (registry_.view().find(item->first) != nullptr) {
            ++item;
            continue;
        }
        withdraw_target(item->first, item->second.services, {}, at);
        item = offered_.erase(item);
    }
}

void dispatcher::offer_if_changed(const membership::target_entry& entry, times at) {
    const auto& announcement = entry.announcement;
    const offered_target offer{.capacity = announcement.capacity,
                               .services = announcement.services,
                               .available = entry.is_usable(at.now)};
    auto& last = offered_[announcement.name];
    if (last == offer) {
        return;
    }
    const auto previous = std::exchange(last, offer);
    withdraw_target(announcement.name, previous.services, announcement.services, at);
    for (auto& [service, owned] : shards_) {
        offer_target(*owned, entry, at);
    }
}

void dispatcher::offer_target(shard& to, const membership::target_entry& entry, times at) {
    if (detail::runs_service(entry, to.log().shard().service)) {
        carry_out(to, to.set_target(entry.announcement, entry.is_usable(at.now), at), at);
    }
}

void dispatcher::offer_all_targets(shard& to, times at) {
    for (const auto& [name, entry] : registry_.view().entries()) {
        offer_target(to, entry, at);
    }
}

core::admin_view dispatcher::view_targets(times at) const {
    std::vector<core::target_view> rows;
    for (const auto& [name, entry] : registry_.view().entries()) {
        const bool usable = entry.is_usable(at.now);
        rows.push_back({.last_announcement = entry.announcement,
                        .available = usable,
                        .reason = usable                       ? ""
                                  : entry.announcement.leaving ? "leaving"
                                                               : "lease expired"});
    }
    return rows;
}

void dispatcher::start(shard& source, run_task task, times at) {
    // Shards learn of an expired lease with a delay, and a start record may be committed after the
    // target has left the service, so both are checked again before the start.
    const auto* const entry = registry_.view().find(task.target);
    if (entry == nullptr || !entry->is_usable(at.now) ||
        !detail::runs_service(*entry, source.log().shard().service)) {
        carry_out(source, source.task_ended(task.run, task_result::not_sent, {}, at), at);
        return;
    }
    effects_.emplace_back(start_order{.service = source.log().shard().service,
                                      .address = entry->announcement.address,
                                      .task = std::move(task)});
}

} // namespace hawthornstall::entry
