#pragma once

/// Decides which entry hosts a control host sends a change of the configuration to, and when. Does
/// no I/O.

#include "hawthornstall/core/ms_clock.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace hawthornstall::control {

/// Limits on the changes that are sent to entry hosts.
struct push_settings {
    /// A follower sends a change to an entry host that has made no progress for this time and the
    /// time that the change takes on a slow link, or for a multiple of it that differs between the
    /// followers. A large configuration from every control host at once would saturate the link of
    /// a small host for seconds.
    core::duration_ms follower_delay{300};
    /// Rate of a slow link, in bytes per ms.
    std::size_t slow_link_rate = 1'000;
    /// A change that an entry host has not confirmed within this time is sent again.
    core::duration_ms confirm_within{3'000};
    /// Limit on the changes that are sent and not confirmed, which wait in the queues of the links.
    /// One change is sent whatever its size.
    std::size_t max_unconfirmed_bytes = std::size_t{16} * 1024 * 1024;
};

/// Place of a follower among those that may send a change in place of the leader.
struct follower_place {
    std::size_t index = 0;
    std::size_t count = 1; ///< Number of followers, with this one.
};

/// What a control host has to send.
struct push_state {
    std::uint64_t revision = 0;               ///< Of this host's configuration.
    std::size_t change_bytes = 0;             ///< Size of one message with a change.
    std::optional<follower_place> follower{}; ///< Empty on the leader.
};

/// A change to send.
struct due_push {
    std::string host;
    std::uint64_t from_revision = 0; ///< What the entry host has.
};

/// The entry hosts that want to be sent changes.
///
/// An entry host that sends hellos confirms what it has received. It is sent the newest state only,
/// and nothing more before it has confirmed that, so a configuration that changes faster than a
/// link can carry it does not queue up. Other entry hosts are sent each change at once.
class subscriber_table {
public:
    explicit subscriber_table(push_settings settings = {}) : settings_(settings) {}

    /// A hello of `host`, which has all changes up to `revision`.
    void confirm(std::string_view host, std::uint64_t revision, core::time_ms now);

    /// `host` asks for the changes after `revision`.
    void subscribe(std::string_view host, std::uint64_t revision, core::time_ms now);

    /// Drops the subscription of `host`.
    void remove(std::string_view host);

    /// The changes to send now; they count as sent.
    [[nodiscard]] std::vector<due_push> take_due(const push_state& state, core::time_ms now);

    /// Names of the subscribers.
    [[nodiscard]] std::vector<std::string> hosts() const;

private:
    struct subscriber {
        std::uint64_t revision = 0; ///< Latest one that it has reported, or else that was sent.
        bool confirms = false;      ///< It sends hellos.
        std::optional<std::uint64_t> asked_after{}; ///< It waits for the changes after this one.
        bool is_unconfirmed = false;                ///< What was sent last is not confirmed.
        core::time_ms sent_at{};
        std::uint64_t sent_revision = 0;
        /// When it fell behind or last made progress; empty while it has the newest state.
        std::optional<core::time_ms> behind_since{};
    };

    /// Whether a change that was sent lately is not confirmed.
    [[nodiscard]] bool awaits_confirmation(const subscriber& item, core::time_ms now) const;
    [[nodiscard]] std::size_t count_unconfirmed(core::time_ms now) const;
    /// Takes note of this host's revision, which decides who is behind.
    void note_revision(std::uint64_t revision, core::time_ms now);
    /// Counts a change as sent.
    static due_push send(const std::string& host, subscriber& item, std::uint64_t revision,
                         core::time_ms now);
    [[nodiscard]] bool is_due(std::string_view host, const subscriber& item,
                              const push_state& state, core::time_ms now) const;

    push_settings settings_;
    std::map<std::string, subscriber, std::less<>> subscribers_; ///< By entry host.
    std::string next_host_; ///< Where the next take_due() begins, so that all hosts get their turn.
};

} // namespace hawthornstall::control
