#pragma once

/// What this entry host knows about the others, and which host owns a shard.

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

/// Owner of a shard, as announced.
struct announced_owner {
    std::string host;
    std::uint64_t epoch = 0;
    std::uint64_t generation = 0;
};

/// Ownership is sticky: a host that serves a shard keeps it while it lives, so that a returning
/// host does not cut off running jobs. Rendezvous hashing only chooses among the living hosts when
/// no living one serves the shard. A wrong choice is safe, since replicas refuse the lower epoch.
class host_directory {
public:
    /// Time after the start during which this host does not take ownership: living owners need to
    /// be heard first. It is the silence limit of the peer links and one notice interval.
    static constexpr core::duration_ms initial_ownership_delay{2500};

    host_directory(known_host self, std::vector<known_host> others, core::time_ms started);

    void set_reachable(std::string_view host, bool reachable);
    void set_notice(std::string_view host, ownership_notice notice, core::time_ms now);
    void set_own_notice(ownership_notice notice);

    /// Living host that says it serves the shard; of several the one with the highest epoch.
    [[nodiscard]] std::optional<announced_owner> find_owner(std::string_view service,
                                                            std::string_view zone) const;

    /// Whether this host is to take ownership of a shard of its own zone now.
    [[nodiscard]] bool should_own(std::string_view service, core::time_ms now) const;

    [[nodiscard]] bool knows_zone(std::string_view zone) const;

    /// Whether any host of the zone can be reached; true for the own zone.
    [[nodiscard]] bool zone_is_reachable(std::string_view zone) const;

    [[nodiscard]] bool is_reachable(std::string_view host) const;
    [[nodiscard]] const known_host& self() const noexcept { return self_; }

    /// Other hosts of the own zone.
    [[nodiscard]] std::vector<std::string> zone_peers() const;

    /// All other hosts.
    [[nodiscard]] std::vector<std::string> all_peers() const;

    [[nodiscard]] std::vector<core::host_view> view(core::time_ms now) const;

private:
    struct host_state {
        known_host host;
        bool reachable = false;
        bool notice_received = false; ///< A notice arrived since the host became reachable.
        core::time_ms notice_received_at{};
        ownership_notice notice;
    };

    [[nodiscard]] bool may_take_ownership(core::time_ms now) const;

    known_host self_;
    ownership_notice own_notice_;
    std::map<std::string, host_state, std::less<>> others_;
    core::time_ms started_;
};

} // namespace hawthornstall::entry
