#pragma once

/// State of the other entry hosts as known to this one, and the choice of a shard's owner.

#include "hawthornstall/core/admin_view.hpp"
#include "hawthornstall/core/weighted_rendezvous.hpp"
#include "hawthornstall/entry/ownership_notice.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace hawthornstall::entry {

/// A host as the settings describe it.
struct known_host {
    std::string name;
    std::string zone;
    double weight = 1.0;
};

/// Owner of a shard according to the ownership notices.
struct announced_owner {
    std::string host;
    std::uint64_t epoch = 0;
    std::uint64_t generation = 0;
};

/// Ownership is sticky: a host keeps its shards as long as it is reachable, so that a host that
/// returns does not interrupt running jobs. Only a shard without a reachable owner is assigned, by
/// rendezvous hashing over the reachable hosts. A wrong choice is safe: journal replicas reject the
/// owner with the lower epoch.
class host_directory {
public:
    /// Time after the start in which this host takes no ownership unless every host of its zone has
    /// sent a notice, so that present owners are known first. It is the silence limit of the peer
    /// links plus one notice interval: net::silence_limit (1500 ms) and detail::notice_interval
    /// (1000 ms).
    static constexpr core::duration_ms initial_ownership_delay{2500};

    host_directory(known_host self, std::vector<known_host> others, core::time_ms started);

    /// Records whether `host` can be reached. An unreachable host counts as owner of nothing.
    void set_reachable(std::string_view host, bool reachable);

    /// Takes the latest notice of another host.
    void set_notice(std::string_view host, ownership_notice notice, core::time_ms now);

    /// Takes the notice that this host sends, which makes its own shards known here.
    void set_own_notice(ownership_notice notice);

    /// Reachable host that claims the shard; of several, the one with the highest epoch.
    [[nodiscard]] std::optional<announced_owner> find_owner(std::string_view service,
                                                            std::string_view zone) const;

    /// Whether this host has to take ownership of a shard of its own zone now.
    [[nodiscard]] bool should_own(std::string_view service, core::time_ms now) const;

    /// Whether any host of the zone is known.
    [[nodiscard]] bool knows_zone(std::string_view zone) const;

    /// Whether any host of the zone can be reached; true for this host's own zone.
    [[nodiscard]] bool zone_is_reachable(std::string_view zone) const;

    /// Whether the host can be reached; true for this host.
    [[nodiscard]] bool is_reachable(std::string_view host) const;
    [[nodiscard]] const known_host& self() const noexcept { return self_; }

    /// Names of the other hosts of this host's zone.
    [[nodiscard]] std::vector<std::string> zone_peers() const;

    /// Names of all other hosts.
    [[nodiscard]] std::vector<std::string> all_peers() const;

    /// One row per host, this host first, for operators.
    [[nodiscard]] std::vector<core::host_view> view(core::time_ms now) const;

private:
    /// Another host and its latest notice.
    struct host_state {
        known_host host;
        bool reachable = false;
        bool notice_received = false; ///< A notice arrived since the host became reachable.
        core::time_ms notice_received_at{};
        ownership_notice notice;
    };

    /// Whether the present owners of the zone are known or initial_ownership_delay has passed.
    [[nodiscard]] bool may_take_ownership(core::time_ms now) const;

    known_host self_;
    ownership_notice own_notice_;
    std::map<std::string, host_state, std::less<>> others_;
    core::time_ms started_;
};

} // namespace hawthornstall::entry
