#pragma once

/// One member of the replicated configuration log: Raft with pre-vote and one member change at a
/// time. Apart from its storage it does no I/O: it takes messages and the time, and returns
/// effects.

#include "hawthornstall/control/append_planner.hpp"
#include "hawthornstall/control/election.hpp"
#include "hawthornstall/control/log_storage.hpp"
#include "hawthornstall/control/member_changes.hpp"
#include "hawthornstall/core/error.hpp"

#include <cstdint>
#include <optional>
#include <random>
#include <span>
#include <utility>
#include <vector>

namespace hawthornstall::control {

/// Effects that the owner of a node must carry out, in the order of the members.
struct node_effects {
    /// Replaces the state before `committed` is applied.
    std::optional<log_snapshot> installed_snapshot;
    std::vector<log_entry> committed; ///< Newly committed entries in log order, each returned once.
    std::vector<peer_message> messages;
};

/// A linearizable read, which may be answered once a quorum has confirmed the leader.
struct read_ticket {
    std::uint64_t term = 0;
    std::uint64_t round = 0;
};

enum class read_state : std::uint8_t {
    waiting,
    confirmed, ///< The state after the committed entries returned so far may be read.
    lost,      ///< This member no longer leads in the read's term; ask the new leader.
};

/// Member of the cluster that replicates the configuration log.
///
/// The host whose name sorts first in `settings.hosts` creates the cluster, once all of these hosts
/// are new members without a cluster. A host that loses its data folder later can therefore not
/// create a second cluster while another host still belongs to the first one, or knows that it did.
///
/// A member whose storage has lost entries that it may have confirmed votes only for members whose
/// log reaches them, and does not lead, until a leader has sent it the entries again.
///
/// receive(), tick() and propose() collect changes. finish() makes them durable with a single sync
/// and only then returns the messages that depend on them.
template <log_storage Storage> class consensus_node {
public:
    consensus_node(Storage storage, consensus_settings settings, std::uint64_t seed,
                   core::time_ms now);

    void receive(const peer_message& message, core::time_ms now);
    void tick(core::time_ms now);

    /// Appends an entry and returns its position. Empty when this member is not the leader, has too
    /// many uncommitted entries, or is the only voter of a cluster of several hosts. The change
    /// takes effect once an entry with exactly this position is committed.
    [[nodiscard]] std::optional<log_position> propose(entry_payload change);

    /// Starts a linearizable read. Empty when this member is not the leader or has not committed an
    /// entry in its term yet.
    [[nodiscard]] std::optional<read_ticket> start_read(core::time_ms now);
    /// Whether a quorum has confirmed the leader since the read was started.
    [[nodiscard]] read_state check(const read_ticket& ticket) const;

    /// Starts to remove another member. False when `member` is not another member, or when this
    /// member does not lead or another member change is in progress.
    [[nodiscard]] bool remove(const member_id& member);

    /// Replaces the entries up to `index`, which must have been returned as committed, by a
    /// snapshot of `state`.
    void compact(std::uint64_t index, store_snapshot state);

    /// Makes the collected changes durable and returns their effects. After an error the node must
    /// not be used any more.
    [[nodiscard]] absl::StatusOr<node_effects> finish(core::time_ms now);

    /// Latest time at which this member's committed state was known to be the quorum's.
    [[nodiscard]] std::optional<core::time_ms> confirmed_at();

    [[nodiscard]] const election& current_election() const noexcept { return election_; }
    [[nodiscard]] bool is_leader() const noexcept {
        return election_.role() == member_role::leader;
    }
    [[nodiscard]] std::uint64_t commit_index() const noexcept { return commit_index_; }
    [[nodiscard]] const member_set& members() const noexcept { return members_; }
    [[nodiscard]] const Storage& storage() const noexcept { return storage_; }
    /// Whether damage has destroyed entries that this member may have confirmed.
    [[nodiscard]] bool has_lost_entries() const {
        return storage_.log().last() < storage_.acknowledged();
    }

private:
    void handle(const member_id& from, const vote_request& request, core::time_ms now);
    void handle(const member_id& from, const vote_reply& reply, core::time_ms now);
    void handle(const member_id& from, const append_request& request, core::time_ms now);
    void handle(const member_id& from, const append_reply& reply, core::time_ms now);
    void handle(const member_id& from, const snapshot_request& request, core::time_ms now);
    void handle(const member_id& from, const join_request& request, core::time_ms now);
    void forward_join(const peer_message& request);

    [[nodiscard]] bool is_for_this_member(const peer_message& message) const;
    [[nodiscard]] bool accept_entries(const append_request& request);
    void append(std::span<const log_entry> entries);
    log_position append_as_leader(entry_payload payload);
    void lead_if_elected(core::time_ms now);
    void request_join(core::time_ms now);
    void create_cluster_if_all_hosts_new(core::time_ms now);
    [[nodiscard]] bool may_change_members() const;
    [[nodiscard]] bool has_single_copy() const;
    void change_members(core::time_ms now);
    void make_durable();
    void advance_commit();
    void send_appends(core::time_ms now);
    void deliver_committed();
    void send(const member_id& to, peer_body body);
    void send_all(std::vector<addressed_body> bodies);
    void record_status(const absl::Status& status);
    [[nodiscard]] bool has_committed_in_term() const;
    [[nodiscard]] election_view view() const {
        return {members_, storage_.log().last(), storage_.acknowledged()};
    }
    [[nodiscard]] const member_id& self() const { return storage_.state().self; }

    Storage storage_;
    consensus_settings settings_;
    election election_;
    replication_progress progress_;
    join_queue joins_;
    member_set members_;
    std::uint64_t cluster_id_;
    std::mt19937_64 random_;
    std::uint64_t commit_index_;
    std::uint64_t delivered_index_; ///< Last entry that finish() has returned as committed.
    /// Latest term in which this member started to lead.
    std::optional<std::uint64_t> leading_term_;
    /// Value of confirmed_at() of the leader, as it reported it to this follower.
    std::optional<core::time_ms> leader_confirmed_at_;
    core::time_ms next_heartbeat_at_;
    core::time_ms next_join_request_at_;
    bool has_unsynced_entries_ = false;
    absl::Status failure_;
    node_effects effects_;
};

/// Creates the cluster `cluster_id`, whose only voter is the owner of `storage`. The storage must
/// be that of a new member.
template <log_storage Storage>
[[nodiscard]] absl::Status create_cluster(Storage& storage, std::uint64_t cluster_id) {
    auto state = storage.state();
    state.cluster_id = cluster_id;
    state.term = 1;
    // The snapshot is written first: a crash between the two writes leaves a member without a
    // cluster, which creates it again.
    auto installed = storage.install({.position = {.term = 1, .index = 1},
                                      .members = {.voters = {state.self}, .learners = {}},
                                      .state = {}});
    installed.Update(storage.save_state(state));
    return installed;
}

} // namespace hawthornstall::control

#include "hawthornstall/control/detail/consensus_node_impl.hpp"
