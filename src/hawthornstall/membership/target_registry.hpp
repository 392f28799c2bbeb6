#pragma once

/// The targets of a zone as one of its entry hosts knows them. Each host publishes a table of the
/// targets that announce to it, follows the tables of its peers, and joins all of them in a view.

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

/// Interval of tick(): changes and renewals travel at least this often.
constexpr core::duration_ms delta_interval{500};

/// Ticks between two digests. A digest only guards against divergence that versions do not show.
constexpr std::uint64_t ticks_per_digest = 10;

/// Shortest time between two requests for the full state of the same peer.
constexpr core::duration_ms state_request_interval{1000};

/// Most corrections in one message; the rest follow with the next deltas.
constexpr std::size_t max_corrections = 16;

/// The local host and the other entry hosts of its zone.
struct registry_config {
    std::uint64_t incarnation = 0; ///< Must grow with each start of this host.
    std::string zone;
    std::vector<std::string> peers;
};

/// A message to send.
struct outgoing {
    std::string peer;
    message body;
};

using registry_effects = std::vector<outgoing>;

/// Answer to an announcement.
enum class announce_result : std::uint8_t {
    accepted,
    older,      ///< Later news of the target, or the same, is known.
    wrong_zone, ///< Targets announce themselves within their zone.
    full,       ///< This host has no slot left.
};

/// Result of an announcement and the messages that it causes.
struct announce_effects {
    announce_result result = announce_result::accepted;
    registry_effects messages;
};

/// State machine; `now` is the local monotonic clock throughout.
template <target_rules Rules> class basic_target_registry {
public:
    explicit basic_target_registry(registry_config config) : config_(std::move(config)) {
        for (const auto& peer : config_.peers) {
            peers_.emplace(peer, peer_state{config_.incarnation});
        }
    }

    /// Takes an announcement that arrived from the target itself. A departure is passed on at once.
    announce_effects announce(const core::target_announcement& news, core::time_ms now) {
        if (news.zone != config_.zone) {
            return {announce_result::wrong_zone, {}};
        }
        const auto stamp = stamp_of(news);
        const auto* const known = view_.find(news.name);
        if (known != nullptr && !Rules::supersedes(stamp, known->latest)) {
            return {announce_result::older, {}};
        }
        if (known != nullptr && is_renewal(known->news, news) && owns(known->news)) {
            const auto published = stamp_of(known->news);
            view_.advance(news.name, stamp);
            view_.renew(news.name, published, now, core::duration_ms{0});
            announced_at_.at(*table_.slot_of(news.name)) = now;
            return {};
        }
        if (!publish(news, now)) {
            return {announce_result::full, {}};
        }
        view_.apply(news, now);
        view_.renew(news.name, stamp, now, core::duration_ms{0});
        return {announce_result::accepted, news.leaving ? deltas(now) : registry_effects{}};
    }

    /// Takes a message from another entry host of the zone. Messages of unknown hosts and of older
    /// incarnations are ignored.
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
        return std::visit([&](const auto& content) { return take(*found, content, now); }, body);
    }

    /// To be called every delta_interval: passes on changes and renewals, and forgets what is over.
    registry_effects tick(core::time_ms now) {
        retire_rows(now);
        view_.forget_departed(now);
        auto effects = deltas(now);
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
        target_table table; ///< Copy of the peer's table.
        std::optional<core::time_ms> requested_at;
    };
    using peer_map = std::map<std::string, peer_state, std::less<>>;
    using peer_item = typename peer_map::value_type;

    registry_effects take(peer_item& peer, const target_delta& delta, core::time_ms now) {
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
            learn(delta.changes, now);
        }
        return renew_rows(peer, delta.ages, start);
    }

    registry_effects take(peer_item& peer, const target_state& content, core::time_ms now) {
        auto& state = peer.second;
        const auto start = lease_start(state, content.clock, now);
        if (content.version < state.table.version() ||
            !state.table.replace(content.rows, content.version)) {
            return {};
        }
        learn(content.rows, now);
        return renew_rows(peer, content.ages, start);
    }

    registry_effects take(peer_item& peer, const target_digest& summary, core::time_ms now) {
        const auto& table = peer.second.table;
        const bool is_stale = summary.version < table.version();
        const bool matches = summary.version == table.version() && summary.digest == table.digest();
        return is_stale || matches ? registry_effects{} : request_state(peer, now);
    }

    registry_effects take(peer_item& peer, const target_state_request& /*request*/,
                          core::time_ms now) {
        // The changes that wait go out first, so that the next delta starts at the state's version.
        auto effects = deltas(now);
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

    registry_effects take(peer_item& /*peer*/, const target_correction& content,
                          core::time_ms now) {
        for (const auto& news : content.news) {
            if (news.zone == config_.zone && view_.apply(news, now) == news_result::older) {
                publish_latest(news.name);
            }
        }
        return {};
    }

    void learn(std::span<const table_change> changes, core::time_ms now) {
        for (const auto& change : changes) {
            if (change.content) {
                view_.apply(*change.content, now);
            }
        }
    }

    /// Publishes the stamp of the latest renewal, which peers need once they know a later stamp
    /// than the published one.
    void publish_latest(std::string_view name) {
        if (const auto& entry = *view_.find(name); owns(entry.news)) {
            const auto announced_at = announced_at_.at(*table_.slot_of(name));
            view_.restamp(name);
            publish(entry.news, announced_at);
        }
    }

    /// Applies the renewals of the peer's rows, and corrects the peer where later news are known:
    /// it missed a move or a departure, or restarted and then took a late announcement for new.
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
                if (!owns(known->news)) {
                    correction.news.push_back(known->news);
                } else if (stamp_of(known->news) < stamp_of(*row)) {
                    publish_latest(row->name);
                }
            }
            if (start) {
                const auto margin = std::min(row->lease, max_lease) / lease_margin_divisor;
                view_.renew(row->name, stamp_of(*row), *start - *age, margin);
            }
        }
        correction.news.resize(std::min(correction.news.size(), max_corrections));
        return correction.news.empty() ? registry_effects{}
                                       : registry_effects{{peer.first, std::move(correction)}};
    }

    /// Whether this host publishes exactly `news`.
    bool owns(const core::target_announcement& news) const {
        const auto slot = table_.slot_of(news.name);
        return slot && stamp_of(*table_.row(*slot)) == stamp_of(news);
    }

    bool publish(const core::target_announcement& news, core::time_ms announced_at) {
        auto change = table_.put(news);
        if (!change) {
            return false;
        }
        announced_at_.resize(table_.slot_count());
        announced_at_.at(change->slot) = announced_at;
        pending_[change->slot] = std::move(change->content);
        return true;
    }

    /// Removes rows whose lease or memory is over, and rows that another host's news replaced.
    void retire_rows(core::time_ms now) {
        for (std::uint32_t slot = 0; slot < table_.slot_count(); ++slot) {
            const auto* const row = table_.row(slot);
            if (row == nullptr) {
                continue;
            }
            const auto* const entry = view_.find(row->name);
            const auto held = row->leaving ? Rules::retention() : std::min(row->lease, max_lease);
            if (entry == nullptr || !owns(entry->news) || now - announced_at_.at(slot) >= held) {
                table_.remove(slot);
                pending_[slot] = std::nullopt;
            }
        }
    }

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

    registry_effects deltas(core::time_ms now) {
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
    std::map<std::uint32_t, std::optional<core::target_announcement>> pending_; ///< By slot.
    std::uint64_t published_version_ = 0;
    std::uint64_t ticks_ = 0;
    peer_map peers_;
};

/// Registry of the product.
using target_registry = basic_target_registry<registry_rules>;

} // namespace hawthornstall::membership
