#pragma once

/// Simulation of three entry hosts and their targets on a virtual clock, with random faults.

#include "hawthornstall/membership/target_registry.hpp"

#include <algorithm>
#include <array>
#include <cstdint>
#include <optional>
#include <queue>
#include <random>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

namespace hawthornstall::membership {

using core::duration_ms;
using core::time_ms;

constexpr std::size_t schedule_hosts = 3;
constexpr std::size_t schedule_targets = 4;
constexpr duration_ms schedule_lease{3000};
/// Lease as the slowest clock measures it, rounded up. It is the bound that is stated for work sent
/// to silent targets.
constexpr duration_ms silence_bound{3030};
/// Maximum delay of an announcement.
constexpr duration_ms announcement_delay{2000};
constexpr duration_ms faults_end{10'000};
/// The time after the faults is enough for late messages, the end of a lease, the removal of a row
/// and a state transfer.
constexpr duration_ms schedule_end{18'000};

/// Simulates one schedule of faults, which the seed decides. Until faults_end, messages are lost,
/// duplicated, delayed and reordered, links are cut, hosts restart, and targets move, leave, fall
/// silent and start again. Clock rates differ by up to 0.4 %.
template <target_rules Rules> class random_schedule {
public:
    explicit random_schedule(std::uint64_t seed) : random_(seed) {
        for (std::size_t index = 0; index < schedule_hosts; ++index) {
            hosts_.at(index).rate = 0.998 + 0.002 * static_cast<double>(pick(3));
            hosts_.at(index).offset = pick(1'000'000);
            start_host(index);
            schedule(duration_ms{pick(500)}, host_tick{index});
        }
        for (std::size_t index = 0; index < schedule_targets; ++index) {
            targets_.at(index).host = pick(schedule_hosts);
            schedule(duration_ms{pick(1000)}, target_step{index});
        }
        schedule(duration_ms{pick(1000)}, fault_step{});
    }

    /// Runs the schedule and returns the first violation of each kind.
    std::vector<std::string> run() {
        while (events_.top().at < time_ms{schedule_end}) {
            auto event = events_.top();
            events_.pop();
            now_ = event.at;
            std::visit([this](auto& step) { execute(step); }, event.step);
            check_safety();
        }
        check_agreement();
        return violations_;
    }

private:
    using registry = basic_target_registry<Rules>;

    struct host {
        std::uint64_t incarnation = 0;
        double rate = 1.0;
        std::uint64_t offset = 0;
        std::optional<registry> registry_state;
        /// Latest stamp of each target that this incarnation knew, and stamp of a known departure.
        std::array<target_stamp, schedule_targets> seen{};
        std::array<target_stamp, schedule_targets> left{};
    };
    enum class target_status : std::uint8_t { running, leaving, silent };
    struct target {
        target_status status = target_status::running;
        std::size_t host = 0;
        std::uint64_t incarnation = 1;
        std::uint64_t sequence = 0;
        bool departure_accepted = false;
        time_ms left_at{};
        /// Time of the latest accepted announcement that was no departure, by incarnation.
        std::vector<time_ms> announced_at = std::vector<time_ms>(2);
    };
    struct host_tick {
        std::size_t host = 0;
    };
    struct target_step {
        std::size_t target = 0;
    };
    struct fault_step {};
    struct announcement_delivery {
        std::size_t host = 0;
        std::size_t target = 0;
        core::target_announcement announcement;
    };
    struct peer_message {
        std::size_t from = 0;
        std::uint64_t incarnation = 0;
        std::size_t to = 0;
        message body;
    };
    struct event {
        time_ms at{};
        std::uint64_t order = 0;
        std::variant<host_tick, target_step, fault_step, announcement_delivery, peer_message> step;

        bool operator<(const event& other) const {
            return std::pair{at, order} > std::pair{other.at, other.order};
        }
    };

    std::uint64_t pick(std::uint64_t count) { return random_() % count; }
    bool chance(std::uint64_t percent) { return pick(100) < percent; }
    bool has_faults() const { return now_ < time_ms{faults_end}; }
    static std::string host_name(std::size_t index) { return "host-" + std::to_string(index); }
    static std::string target_name(std::size_t index) { return "t" + std::to_string(index); }

    time_ms local(const host& host) const {
        const auto run = static_cast<double>(core::to_count(now_)) * host.rate;
        return core::from_count(static_cast<std::int64_t>(run) +
                                static_cast<std::int64_t>(host.offset));
    }

    template <class Step> void schedule(duration_ms delay, Step step) {
        events_.push({now_ + delay, next_order_++, std::move(step)});
    }

    void start_host(std::size_t index) {
        auto& host = hosts_.at(index);
        ++host.incarnation;
        registry_config config{.incarnation = host.incarnation, .zone = "bilbao", .peers = {}};
        for (std::size_t other = 0; other < schedule_hosts; ++other) {
            if (other != index) {
                config.peers.push_back(host_name(other));
            }
        }
        host.registry_state.emplace(std::move(config));
        host.seen = {};
        host.left = {};
    }

    void send(std::size_t from, const registry_effects& effects) {
        for (const auto& [peer, body] : effects) {
            const std::size_t to = static_cast<std::size_t>(peer.back() - '0');
            const bool is_cut = cut_.at(from).at(to) > now_;
            if (has_faults() && (is_cut || chance(5))) {
                continue;
            }
            for (int copy = has_faults() && chance(5) ? 2 : 1; copy > 0; --copy) {
                const auto delay = has_faults() && chance(10) ? pick(1500) : pick(3);
                schedule(duration_ms{delay},
                         peer_message{from, hosts_.at(from).incarnation, to, body});
            }
        }
    }

    void execute(const host_tick& step) {
        auto& host = hosts_.at(step.host);
        send(step.host, host.registry_state->tick(local(host)));
        schedule(delta_interval, host_tick{step.host});
    }

    void execute(const peer_message& step) {
        auto& host = hosts_.at(step.to);
        send(step.to, host.registry_state->receive(host_name(step.from), step.incarnation,
                                                   step.body, local(host)));
    }

    void execute(const announcement_delivery& step) {
        auto& host = hosts_.at(step.host);
        auto announced = host.registry_state->announce(step.announcement, local(host));
        if (announced.result == announce_result::accepted) {
            auto& target = targets_.at(step.target);
            if (step.announcement.leaving) {
                target.departure_accepted |= step.announcement.incarnation == target.incarnation;
            } else {
                target.announced_at.at(step.announcement.incarnation) = now_;
            }
        }
        send(step.host, announced.effects);
    }

    void execute(const fault_step& /*step*/) {
        if (!has_faults()) {
            return;
        }
        const auto host = pick(schedule_hosts);
        if (chance(30)) {
            start_host(host);
        } else {
            // Cuts one direction or both, for up to 6 s, which is longer than a lease.
            const auto other = (host + 1 + pick(schedule_hosts - 1)) % schedule_hosts;
            const auto until = now_ + duration_ms{pick(6000)};
            cut_.at(host).at(other) = until;
            if (chance(70)) {
                cut_.at(other).at(host) = until;
            }
        }
        schedule(duration_ms{pick(2500)}, fault_step{});
    }

    void execute(const target_step& step) {
        auto& target = targets_.at(step.target);
        if (has_faults()) {
            change_status(target);
        }
        if (target.status != target_status::silent) {
            announce(step.target);
        }
        schedule(duration_ms{900 + pick(200)}, target_step{step.target});
    }

    void change_status(target& target) {
        if (target.status == target_status::running) {
            if (chance(10)) {
                target.host = pick(schedule_hosts);
            }
            if (chance(8)) {
                target.status = target_status::leaving;
                target.left_at = now_;
            } else if (chance(6)) {
                target.status = target_status::silent;
            }
        } else if (target.status == target_status::silent || target.departure_accepted) {
            target.status = target_status::silent;
            if (chance(25)) {
                target.status = target_status::running;
                target.departure_accepted = false;
                target.left_at = {};
                ++target.incarnation;
                target.sequence = 0;
                target.announced_at.emplace_back();
            }
        }
    }

    void announce(std::size_t index) {
        auto& target = targets_.at(index);
        core::target_announcement announcement;
        announcement.name = target_name(index);
        announcement.incarnation = target.incarnation;
        announcement.sequence = ++target.sequence;
        announcement.zone = "bilbao";
        announcement.lease = schedule_lease;
        announcement.leaving = target.status == target_status::leaving;
        if (has_faults() && chance(10)) {
            return;
        }
        for (int copy = has_faults() && chance(10) ? 2 : 1; copy > 0; --copy) {
            const bool is_late = has_faults() && (copy > 1 || chance(10));
            const auto delay =
                is_late ? pick(static_cast<std::uint64_t>(announcement_delay.count())) : pick(3);
            // A duplicated or late announcement may reach another host through a load balancer.
            const auto host = is_late && chance(30) ? pick(schedule_hosts) : target.host;
            schedule(duration_ms{delay}, announcement_delivery{host, index, announcement});
        }
    }

    /// Checks what must hold at all times.
    void check_safety() {
        for (auto& host : hosts_) {
            for (std::size_t index = 0; index < schedule_targets; ++index) {
                if (const auto* const entry =
                        host.registry_state->view().find(target_name(index))) {
                    check_entry(host, index, *entry);
                }
            }
        }
    }

    void check_entry(host& host, std::size_t index, const target_entry& entry) {
        const auto& target = targets_.at(index);
        const auto stamp = stamp_of(entry.announcement);
        if (entry.latest < host.seen.at(index)) {
            report("an older announcement replaced a newer one", index);
        }
        host.seen.at(index) = entry.latest;
        if (entry.announcement.leaving) {
            host.left.at(index) = stamp;
        }
        if (!entry.is_usable(local(host))) {
            return;
        }
        if (stamp < host.left.at(index)) {
            report("new work to a target after its departure was known", index);
        }
        if (now_ - target.announced_at.at(stamp.incarnation) > silence_bound) {
            report("new work to a silent target", index);
        }
        const bool has_left = target.status != target_status::running &&
                              target.left_at > time_ms{} && stamp.incarnation == target.incarnation;
        if (has_left && now_ - target.left_at > announcement_delay + silence_bound) {
            report("new work to a leaving target", index);
        }
    }

    /// Checks that all hosts agree on the targets after the faults.
    void check_agreement() {
        for (std::size_t index = 0; index < schedule_targets; ++index) {
            const bool is_running = targets_.at(index).status == target_status::running;
            const auto* const first =
                hosts_.front().registry_state->view().find(target_name(index));
            for (const auto& host : hosts_) {
                const auto* const entry = host.registry_state->view().find(target_name(index));
                const bool is_usable = entry != nullptr && entry->is_usable(local(host));
                if (is_usable != is_running) {
                    report("hosts have a wrong status of the target", index);
                } else if (is_usable &&
                           (first == nullptr || entry->announcement != first->announcement)) {
                    report("hosts disagree on the latest announcement", index);
                }
            }
        }
    }

    void report(std::string_view problem, std::size_t target) {
        if (std::ranges::none_of(violations_,
                                 [&](const auto& known) { return known.starts_with(problem); })) {
            violations_.push_back(std::string{problem} + ": " + target_name(target) + " at " +
                                  std::to_string(core::to_count(now_)) + " ms");
        }
    }

    std::mt19937_64 random_;
    time_ms now_{};
    std::uint64_t next_order_ = 0;
    std::priority_queue<event> events_;
    std::array<host, schedule_hosts> hosts_;
    std::array<target, schedule_targets> targets_;
    std::array<std::array<time_ms, schedule_hosts>, schedule_hosts> cut_{};
    std::vector<std::string> violations_;
};

} // namespace hawthornstall::membership
