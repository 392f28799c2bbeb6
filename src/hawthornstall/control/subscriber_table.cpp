#include "hawthornstall/control/subscriber_table.hpp"

#include <xxhash.h>

#include <algorithm>

namespace hawthornstall::control {
namespace detail {

/// How long a follower waits before it sends a change to `host`. The order of the followers differs
/// between entry hosts, so that they share the work when the leader reaches nobody.
core::duration_ms follower_wait(std::string_view host, const follower_place& place,
                                std::size_t change_bytes, const push_settings& settings) {
    const auto turn = (place.index + XXH3_64bits(host.data(), host.size())) % place.count;
    const core::duration_ms transfer{
        static_cast<core::duration_ms::rep>(change_bytes / settings.slow_link_rate)};
    return static_cast<core::duration_ms::rep>(turn + 1) * (settings.follower_delay + transfer);
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
    const auto wait =
        state.follower && !item.asked_after
            ? detail::follower_wait(host, *state.follower, state.change_bytes, settings_)
            : core::duration_ms{0};
    return now - item.behind_since.value_or(now) >= wait;
}

std::size_t subscriber_table::count_unconfirmed(core::time_ms now) const {
    return static_cast<std::size_t>(std::ranges::count_if(
        subscribers_, [&](const auto& entry) { return awaits_confirmation(entry.second, now); }));
}

void subscriber_table::note_revision(std::uint64_t revision, core::time_ms now) {
    for (auto& [host, item] : subscribers_) {
        if (item.asked_after > revision) {
            item.asked_after.reset(); // This host lags behind and has nothing new.
        }
        if (item.revision >= revision) {
            item.behind_since.reset();
        } else if (!item.behind_since) {
            item.behind_since = now;
        }
    }
}

due_push subscriber_table::send(const std::string& host, subscriber& item, std::uint64_t revision,
                                core::time_ms now) {
    due_push push{.host = host, .from_revision = item.asked_after.value_or(item.revision)};
    item.asked_after.reset();
    item.is_unconfirmed = item.confirms;
    item.sent_at = now;
    item.sent_revision = revision;
    if (!item.confirms) {
        item.revision = revision;
    }
    return push;
}

std::vector<due_push> subscriber_table::take_due(const push_state& state, core::time_ms now) {
    note_revision(state.revision, now);
    const auto most = std::max<std::size_t>(1, settings_.max_unconfirmed_bytes /
                                                   std::max<std::size_t>(1, state.change_bytes));
    auto unconfirmed = count_unconfirmed(now);
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
        unconfirmed += item.confirms ? 1 : 0;
        due.push_back(send(host, item, state.revision, now));
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
