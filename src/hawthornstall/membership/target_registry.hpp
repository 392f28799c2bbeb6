#pragma once

/// Registry of the targets of a zone on one of its entry hosts. Each host publishes a table of the
/// targets that announce themselves to it, keeps copies of its peers' tables, and merges all of
/// them into one view.

#include "hawthornstall/membership/clock_echo.hpp"
#include "hawthornstall/membership/messages.hpp"
#include "hawthornstall/membership/target_table.hpp"
#include "hawthornstall/membership/target_view.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

namespace hawthornstall::membership {

/// Interval of tick(); changes and renewals are sent at least this often.
constexpr core::duration_ms delta_interval{500};

/// Ticks between two digests (5 s). Digests only detect divergence that the versions do not show,
/// so they may be rare.
constexpr std::uint64_t ticks_per_digest = 10;

/// Minimum time between two requests for the full state of one peer.
constexpr core::duration_ms state_request_interval{1000};

/// Limit on the announcements in one target_correction. The rest follow after later deltas.
constexpr std::size_t max_corrections = 16;

/// Identity of the local host, and the other entry hosts of its zone.
struct registry_config {
    std::uint64_t incarnation = 0; ///< Must grow with each start of this host.
    std::string zone;
    std::vector<std::string> peers;
};

/// Effect: `body` is to be sent to the entry host `peer`.
struct registry_effect {
    std::string peer;
    message body;
};

using registry_effects = std::vector<registry_effect>;

/// Answer to an announcement.
enum class announce_result : std::uint8_t {
    accepted,
    not_newer,  ///< The same or a later announcement is known.
    wrong_zone, ///< Targets must announce themselves in their zone.
    full,       ///< The table of this host is full.
};

/// Result of an announcement, and the messages to send because of it.
struct announce_effects {
    announce_result result = announce_result::accepted;
    registry_effects effects;
};

/// State machine of the registry. `now` is always the time of the local monotonic clock.
template <target_rules Rules> class basic_target_registry {
public:
    explicit basic_target_registry(registry_config config) : config_(std::move(config)) {
        for (const auto& peer : config_.peers) {
            peers_.emplace(peer, peer_state{config_.incarnation});
        }
    }

    /// Handles an announcement that arrived from the target itself. A departure is sent to the
    /// peers at once.
    announce_effects announce(const core::target_announcement& announcement, core::time_ms now) {
        if (announcement.zone != config_.zone) {
            return {announce_result::wrong_zone, {}};
        }
        const auto stamp = stamp_of(announcement);
        const auto* const known = view_.find(announcement.name);
        if (known != nullptr && !Rules::supersedes(stamp, known->latest)) {
            return {announce_result::not_newer, {}};
        }
        if (known != nullptr && is_renewal(known->announcement, announcement) &&
            publishes(known->announcement)) {
            const auto published = stamp_of(known->announcement);
            view_.advance(announcement.name, stamp);
            view_.renew(announcement.name, published, now, core::duration_ms{0});
            announced_at_.at(*table_.slot_of(announcement.name)) = now;
            return {};
        }
        if (!publish(announcement, now)) {
            return {announce_result::full, {}};
        }
        view_.apply(announcement, now);
        view_.renew(announcement.name, stamp, now, core::duration_ms{0});
        return {announce_result::accepted,
                announcement.leaving ? flush_deltas(now) : registry_effects{}};
    }

    /// Handles a message from another entry host of the zone. Messages from unknown hosts and from
    /// earlier incarnations are ignored.
    registry_effects receive(std::string_view peer, std::uint64_t incarnation, const message& body,
                             core::time_ms now) {
        const auto found = peers_.find(peer);
        if (found == peers_.end() || incarnation < found->second.incarnation) {
            return {};
        }
        if (incarnation > found->second.incarnation) {
            found->second.incarnation = incarnation;
            found->second.table = {};
        }
        return std::visit([&](const auto& content) { return handle(*found, content, now); }, body);
    }

    /// To be called every delta_interval. Sends changes and renewals, and drops expired rows and
    /// targets that left or whose lease expired.
    registry_effects tick(core::time_ms now) {
        remove_outdated_rows(now);
        view_.drop_unusable(now);
        auto effects = flush_deltas(now);
        if (++ticks_ % ticks_per_digest == 0) {
            const target_digest summary{.version = table_.version(), .digest = table_.digest()};
            for (const auto& [name, state] : peers_) {
                effects.push_back({name, summary});
            }
        }
        return effects;
    }

    /// Whether `target` may receive new work.
    [[nodiscard]] bool is_usable(std::string_view target, core::time_ms now) const {
        const auto* const entry = view_.find(target);
        return entry != nullptr && entry->is_usable(now);
    }

    [[nodiscard]] const target_view<Rules>& view() const noexcept { return view_; }

private:
    struct peer_state {
        explicit peer_state(std::uint64_t local_incarnation) : clock(local_incarnation) {}

        clock_echo clock;
        std::uint64_t incarnation = 0;
        target_table table;                        ///< Copy of the peer's table.
        std::optional<core::time_ms> requested_at; ///< Last request for the full state.
    };
    using peer_map = std::map<std::string, peer_state, std::less<>>;
    using peer_item = typename peer_map::value_type;

    registry_effects handle(peer_item& peer, const target_delta& delta, core::time_ms now) {
        auto& [name, state] = peer;
        const auto start = lease_start(state, delta.clock, now);
        if (delta.version < state.table.version()) {
            return {};
        }
        if (delta.base_version > state.table.version()) {
            return request_state(peer, now);
        }
        if (delta.version > state.table.version()) {
            if (!state.table.apply(delta.changes, delta.version)) {
                return request_state(peer, now);
            }
            apply_changes(delta.changes, now);
        }
        return renew_rows(peer, delta.ages, start);
    }

    registry_effects handle(peer_item& peer, const target_state& content, core::time_ms now) {
        auto& state = peer.second;
        const auto start = lease_start(state, content.clock, now);
        if (content.version < state.table.version() ||
            !state.table.replace(content.rows, content.version)) {
            return {};
        }
        apply_changes(content.rows, now);
        return renew_rows(peer, content.ages, start);
    }

    registry_effects handle(peer_item& peer, const target_digest& summary, core::time_ms now) {
        const auto& table = peer.second.table;
        const bool is_stale = summary.version < table.version();
        const bool matches = summary.version == table.version() && summary.digest == table.digest();
        return is_stale || matches ? registry_effects{} : request_state(peer, now);
    }

    registry_effects handle(peer_item& peer, const target_state_request& /*request*/,
                            core::time_ms now) {
        // Pending changes are sent first, so that the next delta starts at the version of the
        // state.
        auto effects = flush_deltas(now);
        effects.push_back({peer.first, target_state{.clock = peer.second.clock.sample(now),
                                                    .version = table_.version(),
                                                    .rows = table_.rows(),
                                                    .ages = ages(now)}});
        return effects;
    }

    registry_effects request_state(peer_item& peer, core::time_ms now) {
        auto& [name, state] = peer;
        if (!Rules::requests_state() ||
            (state.requested_at && now - *state.requested_at < state_request_interval)) {
            return {};
        }
        state.requested_at = now;
        return {{name, target_state_request{}}};
    }

    static std::optional<core::time_ms> lease_start(peer_state& state, const clock_sample& sample,
                                                    core::time_ms now) {
        return Rules::lease_start(state.clock.receive(sample, state.incarnation, now), now);
    }

    /// Applies a correction. If this host knows a later announcement and publishes it, its table is
    /// updated with the latest stamp, so that the sender of the correction learns of it.
    registry_effects handle(peer_item& /*peer*/, const target_correction& content,
                            core::time_ms now) {
        for (const auto& announcement : content.announcements) {
            if (announcement.zone == config_.zone &&
                view_.apply(announcement, now) == apply_result::older) {
                publish_latest(announcement.name);
            }
        }
        return {};
    }

    /// Applies the announcements in changes of a peer's table to the view.
    void apply_changes(std::span<const table_change> changes, core::time_ms now) {
        for (const auto& change : changes) {
            if (change.content) {
                view_.apply(*change.content, now);
            }
        }
    }

    /// Publishes the stamp of the latest renewal. Until it is published, peers that know a later
    /// stamp than the row's ignore the row's renewals.
    void publish_latest(std::string_view name) {
        if (const auto& entry = *view_.find(name); publishes(entry.announcement)) {
            const auto announced_at = announced_at_.at(*table_.slot_of(name));
            view_.adopt_latest_stamp(name);
            publish(entry.announcement, announced_at);
        }
    }

    /// Applies the renewals of the peer's rows. Sends a correction for targets of which a later
    /// announcement is known: the peer missed a move or a departure, or it restarted and accepted a
    /// delayed announcement as new.
    registry_effects renew_rows(peer_item& peer, std::string_view ages,
                                std::optional<core::time_ms> start) {
        const auto& table = peer.second.table;
        target_correction correction;
        const auto slots = std::min<std::size_t>(ages.size(), table.slot_count());
        for (std::uint32_t slot = 0; slot < slots; ++slot) {
            const auto* const row = table.row(slot);
            const auto age = decode_age(static_cast<std::uint8_t>(ages[slot]));
            if (row == nullptr || !age) {
                continue;
            }
            const auto* const known = view_.find(row->name);
            if (known != nullptr && known->latest > stamp_of(*row)) {
                if (!publishes(known->announcement)) {
                    correction.announcements.push_back(known->announcement);
                } else if (stamp_of(known->announcement) < stamp_of(*row)) {
                    publish_latest(row->name);
                }
            }
            if (start) {
                const auto margin = std::min(row->lease, max_lease) / lease_margin_divisor;
                view_.renew(row->name, stamp_of(*row), *start - *age, margin);
            }
        }
        correction.announcements.resize(std::min(correction.announcements.size(), max_corrections));
        return correction.announcements.empty()
                   ? registry_effects{}
                   : registry_effects{{peer.first, std::move(correction)}};
    }

    /// Whether this host's table contains this announcement.
    bool publishes(const core::target_announcement& announcement) const {
        const auto slot = table_.slot_of(announcement.name);
        return slot && stamp_of(*table_.row(*slot)) == stamp_of(announcement);
    }

    bool publish(const core::target_announcement& announcement, core::time_ms announced_at) {
        auto change = table_.put(announcement);
        if (!change) {
            return false;
        }
        announced_at_.resize(table_.slot_count());
        announced_at_.at(change->slot) = announced_at;
        pending_[change->slot] = std::move(change->content);
        return true;
    }

    /// Removes rows whose lease or retention time is over, and rows that another host's
    /// announcement replaced.
    void remove_outdated_rows(core::time_ms now) {
        for (std::uint32_t slot = 0; slot < table_.slot_count(); ++slot) {
            const auto* const row = table_.row(slot);
            if (row == nullptr) {
                continue;
            }
            const auto* const entry = view_.find(row->name);
            const auto kept_for =
                row->leaving ? Rules::retention() : std::min(row->lease, max_lease);
            if (entry == nullptr || !publishes(entry->announcement) ||
                now - announced_at_.at(slot) >= kept_for) {
                table_.remove(slot);
                pending_[slot] = std::nullopt;
            }
        }
    }

    /// Encoded ages of all rows, by slot.
    std::string ages(core::time_ms now) const {
        std::string bytes(table_.slot_count(), static_cast<char>(no_lease));
        for (std::uint32_t slot = 0; slot < table_.slot_count(); ++slot) {
            const auto* const row = table_.row(slot);
            if (row != nullptr && !row->leaving) {
                bytes[slot] = static_cast<char>(encode_age(now - announced_at_.at(slot)));
            }
        }
        return bytes;
    }

    /// Returns a delta with the pending changes for each peer.
    registry_effects flush_deltas(core::time_ms now) {
        target_delta delta{.clock = {},
                           .base_version = published_version_,
                           .version = table_.version(),
                           .changes = {},
                           .ages = ages(now)};
        for (auto& [slot, content] : pending_) {
            delta.changes.push_back({slot, std::move(content)});
        }
        pending_.clear();
        published_version_ = table_.version();
        registry_effects effects;
        for (const auto& [name, state] : peers_) {
            delta.clock = state.clock.sample(now);
            effects.push_back({name, delta});
        }
        return effects;
    }

    registry_config config_;
    target_view<Rules> view_;
    target_table table_;                      ///< Published rows.
    std::vector<core::time_ms> announced_at_; ///< Arrival of the latest announcement, by slot.
    /// Changes that have not been sent yet, by slot.
    std::map<std::uint32_t, std::optional<core::target_announcement>> pending_;
    std::uint64_t published_version_ = 0; ///< Version that the last delta reached.
    std::uint64_t ticks_ = 0;
    peer_map peers_;
};

/// Registry with the rules used in production.
using target_registry = basic_target_registry<registry_rules>;

} // namespace hawthornstall::membership
