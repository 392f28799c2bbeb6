#pragma once

/// One member of the configuration log. Pure apart from its storage: messages and time in, effects
/// out.

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

/// What the owner of a node carries out, in this order of members.
struct node_effects {
    std::optional<log_snapshot>
        installed_snapshot;           ///< Replaces the state before the entries below.
    std::vector<log_entry> committed; ///< In log order, each entry once.
    std::vector<peer_message> messages;
};

/// A read that waits until a quorum confirms the leader.
struct read_ticket {
    std::uint64_t term = 0;
    std::uint64_t round = 0;
};

enum class read_state : std::uint8_t {
    waiting,
    confirmed, ///< The state after the committed entries handed out so far may be read.
    lost,      ///< The leader changed; ask the new one.
};

/// A cluster is founded by the first of `settings.hosts` once all of them, including itself, are
/// new members without a cluster. A host whose folder is emptied later therefore never founds a
/// second cluster while another host still has the first one.
///
/// Inputs are collected by receive(), tick() and propose(); finish() syncs what they wrote, once,
/// and only then hands out the messages that depend on it.
template <log_storage Storage> class consensus_node {
public:
    consensus_node(Storage storage, consensus_settings settings, std::uint64_t seed,
                   core::time_ms now);

    void receive(const peer_message& message, core::time_ms now);
    void tick(core::time_ms now);

    /// Position of the new entry; empty when this member is not the leader. The edit is accepted
    /// for replication once an entry with exactly this position is committed.
    [[nodiscard]] std::optional<log_position> propose(entry_payload change);

    /// Empty when this member is not the leader or has not committed in its term yet.
    [[nodiscard]] std::optional<read_ticket> start_read(core::time_ms now);
    [[nodiscard]] read_state check(const read_ticket& ticket) const;

    /// Removes another member. False when this member does not lead or another change is underway.
    [[nodiscard]] bool remove(const member_id& member);

    /// Replaces the entries up to `index`, which must be handed out as committed, by `state`.
    void compact(std::uint64_t index, store_snapshot state);

    /// After an error the node must not be used any more.
    [[nodiscard]] absl::StatusOr<node_effects> finish(core::time_ms now);

    /// When this member's committed state was last known to be the quorum's.
    [[nodiscard]] std::optional<core::time_ms> confirmed_at();

    [[nodiscard]] const election& election_state() const noexcept { return election_; }
    [[nodiscard]] bool is_leader() const noexcept {
        return election_.role() == member_role::leader;
    }
    [[nodiscard]] std::uint64_t commit_index() const noexcept { return commit_index_; }
    [[nodiscard]] const member_set& members() const noexcept { return members_; }
    [[nodiscard]] const Storage& storage() const noexcept { return storage_; }

private:
    void handle(const member_id& from, const vote_request& request, core::time_ms now);
    void handle(const member_id& from, const vote_reply& reply, core::time_ms now);
    void handle(const member_id& from, const append_request& request, core::time_ms now);
    void handle(const member_id& from, const append_reply& reply, core::time_ms now);
    void handle(const member_id& from, const snapshot_request& request, core::time_ms now);
    void handle(const member_id& from, const join_request& request, core::time_ms now);

    [[nodiscard]] bool is_for_this_member(const peer_message& message) const;
    [[nodiscard]] bool accept_entries(const append_request& request);
    void append(std::span<const log_entry> entries);
    log_position append_as_leader(entry_payload payload);
    void lead_if_elected(core::time_ms now);
    void request_join(core::time_ms now);
    void create_cluster_if_all_hosts_new(core::time_ms now);
    [[nodiscard]] bool may_change_members() const;
    void change_members(core::time_ms now);
    void make_durable();
    void advance_commit();
    void send_appends(core::time_ms now);
    void deliver_committed();
    void send(const member_id& to, peer_body body);
    void send_all(std::vector<addressed_body> bodies);
    void record_status(const absl::Status& status);
    [[nodiscard]] bool has_committed_in_term() const;
    [[nodiscard]] election_view view() const { return {members_, storage_.log().last()}; }
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
    std::uint64_t delivered_index_;
    std::optional<std::uint64_t> leading_term_;
    std::optional<core::time_ms> leader_confirmed_at_;
    core::time_ms next_heartbeat_at_;
    core::time_ms next_join_request_at_;
    bool has_unsynced_entries_ = false;
    absl::Status failure_;
    node_effects effects_;
};

/// Makes `storage`, which must be that of a new member, the only voter of the cluster `cluster_id`.
template <log_storage Storage>
[[nodiscard]] absl::Status create_cluster(Storage& storage, std::uint64_t cluster_id) {
    auto state = storage.state();
    state.cluster_id = cluster_id;
    state.term = 1;
    // The snapshot comes first: a crash in between leaves a member without a cluster, which founds
    // it again.
    auto installed = storage.install({.position = {.term = 1, .index = 1},
                                      .members = {.voters = {state.self}, .learners = {}},
                                      .state = {}});
    installed.Update(storage.save_state(state));
    return installed;
}

} // namespace hawthornstall::control

#include "hawthornstall/control/detail/consensus_node_impl.hpp"
