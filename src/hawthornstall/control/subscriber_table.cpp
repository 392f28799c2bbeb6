#include "hawthornstall/control/subscriber_table.hpp"

#include <xxhash.h>

#include <algorithm>

namespace hawthornstall::control {
namespace detail {

/// How long a follower waits before it sends a change to `host`. The order of the followers differs
/// between entry hosts, so that they share the work when the leader reaches nobody.
core::duration_ms follower_wait(std::string_view host, const follower_place& place,
                                core::duration_ms delay) {
    const auto turn = (place.index + XXH3_64bits(host.data(), host.size())) % place.count;
    return static_cast<core::duration_ms::rep>(turn + 1) * delay;
}

} // namespace detail

void subscriber_table::confirm(std::string_view host, std::uint64_t revision, core::time_ms now) {
    auto& item = subscribers_[std::string{host}];
    item.confirms = true;
    if (revision > item.revision) {
        item.revision = revision;
        item.behind_since = now;
    }
    if (item.revision >= item.sent_revision) {
        item.is_unconfirmed = false;
    }
}

void subscriber_table::subscribe(std::string_view host, std::uint64_t revision, core::time_ms now) {
    auto& item = subscribers_[std::string{host}];
    item.revision = revision;
    item.asked_after = revision;
    item.behind_since = now;
}

void subscriber_table::remove(std::string_view host) {
    if (const auto found = subscribers_.find(host); found != subscribers_.end()) {
        subscribers_.erase(found);
    }
}

bool subscriber_table::awaits_confirmation(const subscriber& item, core::time_ms now) const {
    return item.is_unconfirmed && now - item.sent_at < settings_.confirm_within;
}

bool subscriber_table::is_due(std::string_view host, const subscriber& item,
                              const push_state& state, core::time_ms now) const {
    if (!item.asked_after && item.revision >= state.revision) {
        return false;
    }
    if (!item.confirms) {
        return true;
    }
    if (awaits_confirmation(item, now)) {
        return false;
    }
    const auto wait = state.follower && !item.asked_after
                          ? detail::follower_wait(host, *state.follower, settings_.follower_delay)
                          : core::duration_ms{0};
    return now - item.behind_since.value_or(now) >= wait;
}

std::vector<due_push> subscriber_table::take_due(const push_state& state, core::time_ms now) {
    std::size_t unconfirmed = 0;
    for (auto& [host, item] : subscribers_) {
        if (item.asked_after > state.revision) {
            item.asked_after.reset(); // This host lags behind and has nothing new.
        }
        const bool is_current = item.revision >= state.revision;
        item.behind_since =
            is_current ? std::nullopt : std::optional{item.behind_since.value_or(now)};
        unconfirmed += awaits_confirmation(item, now) ? 1 : 0;
    }
    const auto most = std::max<std::size_t>(1, settings_.max_unconfirmed_bytes /
                                                   std::max<std::size_t>(1, state.change_bytes));
    std::vector<due_push> due;
    auto position = subscribers_.lower_bound(next_host_);
    for (std::size_t count = 0; count < subscribers_.size(); ++count, ++position) {
        if (position == subscribers_.end()) {
            position = subscribers_.begin();
        }
        auto& [host, item] = *position;
        if (!is_due(host, item, state, now)) {
            continue;
        }
        if (item.confirms && unconfirmed >= most) {
            next_host_ = host;
            break;
        }
        due.push_back({host, item.asked_after.value_or(item.revision)});
        item.asked_after.reset();
        item.is_unconfirmed = item.confirms;
        unconfirmed += item.confirms ? 1 : 0;
        item.sent_at = now;
        item.sent_revision = state.revision;
        if (!item.confirms) {
            item.revision = state.revision;
        }
    }
    return due;
}

std::vector<std::string> subscriber_table::hosts() const {
    std::vector<std::string> names;
    names.reserve(subscribers_.size());
    for (const auto& [host, item] : subscribers_) {
        names.push_back(host);
    }
    return names;
}

} // namespace hawthornstall::control
