#pragma once

/// The entry hosts that this host considers alive, with the state that each announced last.

#include "hawthornstall/core/ms_clock.hpp"
#include "hawthornstall/runs/run_messages.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace hawthornstall::runs {

/// Chooses the scheduler and the preferred holder of each target among the hosts considered alive.
/// Does no I/O. Hosts may have different views for a while. This can delay jobs but is safe, since
/// targets check fencing tokens.
class host_membership {
public:
    explicit host_membership(host_presence self) : self_(std::move(self)) {}

    /// Takes the presence message of another host.
    void on_presence(const host_presence& host);

    /// Removes a host that cannot be reached.
    void unreachable(std::string_view host);

    /// How often a host that was not known at the time has joined.
    [[nodiscard]] std::uint64_t joins() const noexcept { return joins_; }

    /// The presence message of this host.
    [[nodiscard]] host_presence& self() noexcept { return self_; }
    [[nodiscard]] const host_presence& self() const noexcept { return self_; }

    [[nodiscard]] const std::map<std::string, host_presence, std::less<>>& others() const noexcept {
        return others_;
    }

    /// The host that schedules jobs: the one with the largest share of a core. Among equal ones it
    /// is the one that has scheduled for longest, so that a host that returns does not take over;
    /// then the first name. All hosts with the same view choose the same one. Empty when all are
    /// leaving.
    [[nodiscard]] std::optional<std::string> scheduler() const;

    /// Updates in this host's presence whether and for how long it has scheduled jobs. Returns true
    /// when it starts to schedule.
    bool update_own_role(core::time_ms now);

    /// Restarts the time for which this host has scheduled. Called after this host was partitioned
    /// from all others or suspended, since they may have chosen another scheduler meanwhile.
    void reset_own_role() noexcept { scheduling_since_.reset(); }

    /// Host that should hold the lease of `target`, by weighted rendezvous hashing: one in the
    /// target's availability zone if there is any, else any host. The scheduler holds no targets in
    /// a zone with several other hosts: every run of every host passes through its link already.
    /// Empty when all are leaving.
    [[nodiscard]] std::optional<std::string> preferred_holder(std::string_view target,
                                                              std::string_view zone) const;

    /// Whether another host that is alive has announced that it holds `target`.
    [[nodiscard]] bool held_elsewhere(std::string_view target) const;

private:
    void count_holder(const host_presence& host);
    void uncount_holder(const host_presence& host);

    host_presence self_;
    std::optional<core::time_ms> scheduling_since_;
    std::map<std::string, host_presence, std::less<>> others_;
    std::uint64_t joins_ = 0;
    /// How many of the other hosts have announced that they hold a target.
    std::map<std::string, std::uint32_t, std::less<>> holder_counts_;
};

} // namespace hawthornstall::runs
