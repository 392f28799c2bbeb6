#pragma once

/// A cluster of control hosts with clients and entry hosts on a virtual clock and a faulty network.

#include "hawthornstall/control/applied_documents.hpp"
#include "hawthornstall/control/config_replica.hpp"
#include "hawthornstall/control/history.hpp"
#include "hawthornstall/control/memory_storage.hpp"
#include "hawthornstall/control/sample_edits.hpp"

#include <algorithm>
#include <array>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace hawthornstall::control {

/// Durations and fault rates of a simulation.
struct simulation_options {
    core::duration_ms fault_phase{15'000};    ///< Time with faults.
    core::duration_ms recovery_phase{12'000}; ///< Time without faults afterwards.
    int drop_percent = 5;
    int duplicate_percent = 5;
    int max_delay_steps = 6;           ///< Messages are reordered within this time.
    int crash_per_mille = 4;           ///< Per host and step.
    int partition_per_mille = 2;       ///< Per step: partitions the leader for up to 6 s.
    int disk_loss_per_mille = 4;       ///< Per step, only while a majority would remain.
    int log_damage_per_mille = 0;      ///< Per step, only while no entry is lost for good.
    bool damages_several_logs = false; ///< Damages all logs but one at once.
    bool replaces_hosts = false;       ///< A host that loses its disk comes back as another host.
    int resend_answered_percent = 20;  ///< Edits resent although they were answered.
    storage_faults storage{};          ///< Deliberate faults.
    bool keeps_identity = false;       ///< Deliberate fault: a replaced disk keeps its identity.
};

/// Simulates the cluster with a seeded random schedule and records what it observes.
template <replicated_store Store = document_store, class Copy = applied_documents>
class cluster_simulation {
public:
    static constexpr core::duration_ms step{20};
    static constexpr std::size_t host_count = 3;

    explicit cluster_simulation(std::uint64_t seed, simulation_options options = {})
        : options_(options), random_(seed) {
        for (std::size_t index = 0; index < host_count; ++index) {
            settings_.hosts.push_back("control-" + std::to_string(index));
        }
        settings_.accept_unlisted = options_.replaces_hosts;
        settings_.compact_after_entries = 12;
        for (std::size_t index = 0; index < host_count; ++index) {
            hosts_[index].disk = make_disk(index);
        }
        for (auto& host : hosts_) {
            start(host);
        }
    }

    /// Runs the phase with faults and the recovery phase after it.
    void run() {
        run_for(core::duration_ms{8'000}, false); // The cluster is created and all hosts join.
        run_for(options_.fault_phase, true);
        run_for(options_.recovery_phase, false);
        has_clients_ = false;
        run_for(core::duration_ms{4'000}, false);
        if (const auto leader = leader_index()) {
            const auto audit = hosts_[*leader].replica->store().snapshot().audit;
            observed_.final_audit.assign(audit.begin(), audit.end());
        }
    }

    /// Runs for `duration`. Without faults, every message still takes one step.
    void run_for(core::duration_ms duration, bool with_faults) {
        with_faults_ = with_faults;
        for (const auto end = now_ + duration; now_ < end; now_ += step) {
            advance();
        }
    }

    /// Whether, after run(), all hosts are voters with equal documents that every entry host has.
    [[nodiscard]] bool has_recovered() const {
        const auto leader = leader_index();
        if (!leader || hosts_[*leader].replica->node().members().voters.size() != host_count) {
            return false;
        }
        const auto documents = hosts_[*leader].replica->store().snapshot();
        bool recovered = !documents.audit.empty() && failure_.ok();
        for (const auto& host : hosts_) {
            recovered = recovered && host.replica->store().snapshot() == documents &&
                        !host.disk->has_lost_entries();
        }
        for (const auto& copy : copies_) {
            recovered =
                recovered && copy.revision() == documents.revision && !copy.may_be_stale(now_);
        }
        return recovered;
    }

    [[nodiscard]] const history& observed() const { return observed_; }
    [[nodiscard]] const absl::Status& failure() const { return failure_; }
    [[nodiscard]] std::size_t lost_disks() const { return lost_disks_; }
    [[nodiscard]] std::size_t damaged_logs() const { return damaged_logs_; }
    [[nodiscard]] const std::vector<core::duration_ms>& apply_times() const { return apply_times_; }

private:
    using replica_type = config_replica<memory_storage, Store>;

    struct control_host {
        std::shared_ptr<memory_disk> disk;
        std::optional<replica_type> replica;
        core::time_ms down_until{};
        core::time_ms partitioned_until{};
    };

    struct client {
        std::optional<edit_command> pending_edit;
        core::time_ms resend_at{};
        std::map<std::string, std::uint64_t> known_versions;
    };

    struct delivery {
        core::time_ms time;
        std::function<void()> deliver;
    };

    struct accepted_edit {
        core::time_ms time{};
        std::string service;
        std::uint64_t version = 0;
    };

    bool chance(int part, int whole) {
        return std::uniform_int_distribution<int>{0, whole - 1}(random_) < part;
    }

    std::size_t random_index(std::size_t count) {
        return std::uniform_int_distribution<std::size_t>{0, count - 1}(random_);
    }

    std::shared_ptr<memory_disk> make_disk(std::size_t index) {
        auto disk = std::make_shared<memory_disk>();
        const auto identity = options_.keeps_identity ? index + 1 : ++last_identity_;
        disk->state.self = {.host = settings_.hosts[index], .storage_id = identity};
        disk->faults = options_.storage;
        return disk;
    }

    void start(control_host& host) {
        auto opened = replica_type::open(memory_storage{host.disk}, settings_, random_(), now_);
        failure_.Update(opened.status());
        if (opened.ok()) {
            host.replica.emplace(std::move(*opened));
        }
    }

    /// Leader of the latest term; an isolated leader of an earlier one does not count.
    [[nodiscard]] std::optional<std::size_t> leader_index() const {
        std::optional<std::size_t> latest;
        std::uint64_t latest_term = 0;
        for (std::size_t index = 0; index < host_count; ++index) {
            const auto& replica = hosts_[index].replica;
            if (replica && replica->node().is_leader() &&
                replica->node().current_election().term() > latest_term) {
                latest = index;
                latest_term = replica->node().current_election().term();
            }
        }
        return latest;
    }

    [[nodiscard]] bool is_unreachable(const control_host& host) const {
        return !host.replica || now_ < host.partitioned_until;
    }

    void send_delayed(std::function<void()> deliver) {
        if (with_faults_ && chance(options_.drop_percent, 100)) {
            return;
        }
        const int copies = with_faults_ && chance(options_.duplicate_percent, 100) ? 2 : 1;
        for (int copy = 0; copy < copies; ++copy) {
            const auto steps = 1 + random_index(with_faults_ ? options_.max_delay_steps : 1);
            network_.push_back({now_ + static_cast<int>(steps) * step, deliver});
        }
    }

    void advance() {
        std::vector<delivery> due;
        std::erase_if(network_, [&](delivery& item) {
            const bool is_due = item.time <= now_;
            if (is_due) {
                due.push_back(std::move(item));
            }
            return is_due;
        });
        for (auto& item : due) {
            item.deliver();
        }
        if (with_faults_) {
            inject_faults();
        }
        for (auto& host : hosts_) {
            step_host(host);
        }
        for (auto& client : clients_) {
            step_client(client);
        }
        if (now_ >= next_poll_) {
            next_poll_ = now_ + core::duration_ms{500};
            for (std::size_t copy = 0; copy < copies_.size(); ++copy) {
                poll(copy);
            }
        }
    }

    void inject_faults() {
        for (auto& host : hosts_) {
            if (host.replica && chance(options_.crash_per_mille, 1'000)) {
                crash(host);
            }
        }
        if (chance(options_.partition_per_mille, 1'000)) {
            auto& partitioned_host = hosts_[leader_index().value_or(random_index(host_count))];
            partitioned_host.partitioned_until =
                now_ + static_cast<int>(random_index(6'000)) * core::duration_ms{1};
        }
        if (can_tolerate_disk_loss() && chance(options_.disk_loss_per_mille, 1'000)) {
            const auto index = random_index(host_count);
            crash(hosts_[index]);
            const auto cluster_id = hosts_[index].disk->state.cluster_id;
            if (options_.replaces_hosts) {
                settings_.hosts[index] = "control-" + std::to_string(host_count + lost_disks_);
            }
            hosts_[index].disk = make_disk(index);
            // A member that lost its disk is otherwise recognised by its missing cluster
            // identifier.
            hosts_[index].disk->state.cluster_id = options_.keeps_identity ? cluster_id : 0;
            ++lost_disks_;
        }
        if (options_.log_damage_per_mille > 0 && can_tolerate_disk_loss() &&
            chance(options_.log_damage_per_mille, 1'000)) {
            damage_logs();
        }
    }

    /// Damages the log of one host or, of several, of all hosts but one that holds every entry
    /// that another one may have confirmed.
    void damage_logs() {
        if (!options_.damages_several_logs) {
            damage_log(hosts_[random_index(host_count)]);
            return;
        }
        const auto& intact = *std::ranges::max_element(
            hosts_, {}, [](const control_host& host) { return host.disk->log.last(); });
        for (auto& host : hosts_) {
            if (&host != &intact) {
                damage_log(host);
            }
        }
    }

    /// Crashes a host, whose disk loses synced entries: any number of the latest ones, or
    /// everything with the snapshot.
    void damage_log(control_host& host) {
        crash(host);
        auto& disk = *host.disk;
        const auto base = disk.log.base().index;
        const auto count = disk.log.last().index - base;
        if (count == 0 || chance(25, 100)) {
            disk.lose_all_entries();
        } else {
            disk.lose_entries_after(base + random_index(count));
        }
        ++damaged_logs_;
    }

    void crash(control_host& host) {
        host.replica.reset();
        host.down_until = now_ + static_cast<int>(random_index(2'000)) * core::duration_ms{1};
    }

    /// Whether all voters of the latest committed member set still have their disks with all
    /// entries that they have confirmed, so that one more loss leaves a majority and a copy of each
    /// committed entry. This holds again as soon as a repair is committed.
    [[nodiscard]] bool can_tolerate_disk_loss() const {
        std::uint64_t commit = 0;
        member_set members;
        for (const auto& host : hosts_) {
            if (host.replica && host.replica->node().commit_index() > commit) {
                commit = host.replica->node().commit_index();
                members = host.replica->node().storage().log().members_at(commit);
            }
        }
        std::size_t alive = 0;
        for (const auto& host : hosts_) {
            const bool is_whole = !host.disk->has_lost_entries();
            alive += is_whole && is_voter(members, host.disk->state.self) ? 1 : 0;
        }
        return members.voters.size() == host_count && alive == host_count;
    }

    void step_host(control_host& host) {
        if (!host.replica && now_ >= host.down_until) {
            start(host);
        }
        if (!host.replica) {
            return;
        }
        auto& replica = *host.replica;
        replica.tick(now_);
        auto output = replica.finish(now_);
        failure_.Update(output.status());
        if (!output.ok()) {
            crash(host);
            return;
        }
        record(replica);
        for (auto& message : output->messages) {
            send(host, std::move(message));
        }
        for (const auto& outcome : output->change_outcomes) {
            deliver_answer(host, outcome);
        }
    }

    void record(const replica_type& replica) {
        const auto& node = replica.node();
        if (node.is_leader()) {
            observed_.leaders[node.current_election().term()].insert(node.storage().state().self);
        }
        const auto commit = node.commit_index();
        if (const auto term = node.storage().log().term_at(commit)) {
            observed_.committed_terms[commit].insert(*term);
        }
    }

    void send(const control_host& from, peer_message message) {
        if (is_unreachable(from)) {
            return;
        }
        send_delayed([this, message = std::move(message)] {
            for (auto& host : hosts_) {
                if (host.disk->state.self.host == message.to.host && !is_unreachable(host)) {
                    host.replica->receive(message, now_);
                }
            }
        });
    }

    void deliver_answer(const control_host& from, const change_outcome& outcome) {
        const auto edit = submitted_[outcome.token];
        if (!outcome.answer) {
            return;
        }
        observed_.answers.push_back({edit, *outcome.answer});
        if (outcome.answer->result == edit_result::accepted) {
            accepted_.push_back({now_, edit.service, outcome.answer->version});
        }
        if (is_unreachable(from)) {
            return;
        }
        send_delayed([this, edit, answer = *outcome.answer] {
            for (auto& client : clients_) {
                if (client.pending_edit && client.pending_edit->edit_id == edit.edit_id) {
                    client.known_versions[edit.service] = answer.version;
                    if (!chance(options_.resend_answered_percent, 100)) {
                        client.pending_edit.reset();
                    }
                }
            }
        });
    }

    void step_client(client& client) {
        if (!client.pending_edit && has_clients_ && chance(20, 100)) {
            const auto service = "service-" + std::to_string(random_index(2));
            client.pending_edit = make_edit("edit-" + std::to_string(++last_edit_),
                                            client.known_versions[service], service);
            client.resend_at = now_;
        }
        if (!client.pending_edit || !has_clients_ || now_ < client.resend_at) {
            return;
        }
        client.resend_at = now_ + core::duration_ms{400};
        send_delayed([this, edit = *client.pending_edit, target = random_index(host_count)] {
            auto& host = hosts_[target];
            if (!is_unreachable(host) && host.replica->submit(edit, submitted_.size())) {
                submitted_.push_back(edit);
            }
        });
    }

    /// One exchange between an entry host and a random control host.
    void poll(std::size_t copy) {
        auto& host = hosts_[random_index(host_count)];
        if (is_unreachable(host)) {
            return;
        }
        const auto digest = host.replica->digest(now_);
        send_delayed([this, copy, digest, sent = now_,
                      delta = host.replica->store().delta_after(copies_[copy].revision())] {
            auto& target = copies_[copy];
            target.apply(delta);
            if (digest) {
                auto delayed = *digest;
                delayed.confirmation_age += now_ - sent;
                (void)target.check(delayed, now_);
            }
            observe(copy);
        });
    }

    void observe(std::size_t copy) {
        for (const auto& document : copies_[copy].documents()) {
            observed_.versions.push_back(
                {"entry-" + std::to_string(copy), document.service, document.version});
        }
        std::erase_if(accepted_, [&](const accepted_edit& edit) {
            bool everywhere = true;
            for (const auto& each : copies_) {
                const auto* const document = each.find(edit.service);
                everywhere = everywhere && document != nullptr && document->version >= edit.version;
            }
            if (everywhere) {
                apply_times_.push_back(now_ - edit.time);
            }
            return everywhere;
        });
    }

    simulation_options options_;
    std::mt19937_64 random_;
    consensus_settings settings_;
    core::time_ms now_ = core::from_count(1'000'000);
    core::time_ms next_poll_{};
    bool with_faults_ = false;
    bool has_clients_ = true;
    std::array<control_host, host_count> hosts_;
    std::array<client, 3> clients_;
    std::array<Copy, 2> copies_;
    std::vector<delivery> network_;
    std::vector<edit_command> submitted_;
    std::vector<accepted_edit> accepted_;
    std::vector<core::duration_ms> apply_times_;
    std::uint64_t last_identity_ = 0;
    std::uint64_t last_edit_ = 0;
    std::size_t lost_disks_ = 0;
    std::size_t damaged_logs_ = 0;
    history observed_;
    absl::Status failure_;
};

} // namespace hawthornstall::control
