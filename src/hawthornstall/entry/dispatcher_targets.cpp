/// Members of dispatcher that follow the targets of the zone.

#include "hawthornstall/core/error.hpp"
#include "hawthornstall/entry/dispatcher.hpp"

#include <algorithm>
#include <utility>

namespace hawthornstall::entry {

void dispatcher::take(const target_news& news, times at) {
    absl::Status status;
    if (news.announcement.zone != options_.self.zone) {
        status = core::make_error(absl::StatusCode::kInvalidArgument,
                                  {.step = "announce_target", .peer = news.announcement.name},
                                  "this entry host serves zone \"" + options_.self.zone +
                                      "\"; announce to a host of the target's own zone");
    } else {
        take_announcement(news.announcement, at);
        for (const auto& peer : hosts_.zone_peers()) {
            send(peer, target_update{news.announcement});
        }
    }
    to_front(news.from, request_done{news.from.request, status});
}

void dispatcher::receive(std::string_view /*peer*/, const target_update& update, times at) {
    take_announcement(update.announcement, at);
}

void dispatcher::take_announcement(const core::target_announcement& news, times at) {
    auto& known = targets_[news.name];
    const auto rank = [](const auto& announcement) {
        return std::pair{announcement.incarnation, announcement.sequence};
    };
    if (rank(news) <= rank(known.last_news)) {
        return;
    }
    known.last_news = news;
    known.expires = at.now + news.lease;
    known.available = !news.leaving;
    for (auto& [service, owned] : shards_) {
        offer_target(*owned, known, at);
    }
}

void dispatcher::offer_target(shard& to, const known_target& target, times at) {
    const auto& services = target.last_news.services;
    if (std::ranges::find(services, to.log().shard().service) != services.end()) {
        carry_out(to, to.set_target(target.last_news, target.available, at), at);
    }
}

void dispatcher::offer_targets(shard& to, times at) {
    for (const auto& [name, target] : targets_) {
        offer_target(to, target, at);
    }
}

void dispatcher::expire_targets(times at) {
    for (auto& [name, target] : targets_) {
        if (target.available && target.expires <= at.now) {
            target.available = false;
            for (auto& [service, owned] : shards_) {
                offer_target(*owned, target, at);
            }
        }
    }
}

core::admin_view dispatcher::view_targets(times /*at*/) const {
    std::vector<core::target_view> rows;
    for (const auto& [name, target] : targets_) {
        rows.push_back({.last_news = target.last_news,
                        .available = target.available,
                        .reason = target.available           ? ""
                                  : target.last_news.leaving ? "leaving"
                                                             : "lease expired"});
    }
    return rows;
}

void dispatcher::start(const shard& source, run_task task, times at) {
    const auto& service = source.log().shard().service;
    const auto found = targets_.find(task.target);
    if (found == targets_.end()) {
        effects_.emplace_back(
            start_order{.service = service, .address = {}, .task = std::move(task)});
        return;
    }
    (void)at;
    effects_.emplace_back(start_order{
        .service = service, .address = found->second.last_news.address, .task = std::move(task)});
}

} // namespace hawthornstall::entry
