#pragma once

/// Owner's side of the replicated journal of one shard.

#include "hawthornstall/journal/replica_progress.hpp"

#include <deque>
#include <map>
#include <span>
#include <string>
#include <variant>
#include <vector>

namespace hawthornstall::journal {

/// Timeouts and limits of an owner.
struct owner_settings {
    core::duration_ms resend_after{100};    ///< Unanswered messages are resent after this time.
    core::duration_ms probe_interval{500};  ///< Silence after which a replica is probed.
    core::duration_ms quorum_timeout{1500}; ///< Equal to net::silence_limit of the peer links.
    /// Appends kept for resending. A replica that lags further behind gets a snapshot.
    std::size_t max_backlog = 4096;
};

/// Effect: `message` is to be sent to the replica named `replica`.
struct send_to_replica {
    std::string replica;
    owner_message message;
};

/// Effect: a quorum holds all appends up to `sequence`.
struct appends_committed {
    std::uint64_t sequence = 0;
};

/// Effect: ownership is established, and appends are accepted from now on.
struct serving_started {
    epoch_number epoch = 0;
    generation_number generation = 0;
};

/// Reason for the end of ownership.
enum class step_down_reason : std::uint8_t {
    superseded,      ///< A replica reported a higher epoch.
    generation_lost, ///< No quorum of replicas can hold the generation any longer.
};

/// Effect: ownership ended. Appends that were not committed may or may not survive.
struct stepped_down {
    step_down_reason reason = step_down_reason::superseded;
};

/// Effect: a quorum of replicas started or stopped answering. Appends are not committed without it.
struct quorum_changed {
    bool has_quorum = false;
};

/// Output of the state machine; its caller carries the effects out in order.
using owner_effect =
    std::variant<send_to_replica, appends_committed, serving_started, stepped_down, quorum_changed>;
using owner_effects = std::vector<owner_effect>;

/// Phase of ownership.
enum class owner_phase : std::uint8_t {
    idle,         ///< Neither an owner nor a candidate.
    fencing,      ///< Collects promises and snapshots from a quorum.
    forming,      ///< Forms a new, empty generation, because no quorum can hold an earlier one.
    writing_back, ///< Writes the merged records to a quorum.
    serving,      ///< Accepts appends.
};

/// Result of an append; sequence 0 means that it was refused because the owner doesn't serve.
struct append_result {
    std::uint64_t sequence = 0;
    owner_effects effects;
};

/// State machine of an owner, or a candidate for ownership, of one shard. The owner is the only
/// writer of the shard's replicated log: it is fenced by epoch, and an append is committed once a
/// quorum of replicas holds it. docs/decisions/at-most-once.md has the safety argument.
class owner_log {
public:
    /// `replicas` are the names of the zone's replicas. `identity` must be unique per process.
    owner_log(shard_id shard, owner_identity identity, std::span<const std::string> replicas,
              owner_settings settings = {});

    /// Starts to take ownership under an epoch above all that were seen so far.
    [[nodiscard]] owner_effects take_ownership(core::time_ms now);

    /// Gives up ownership, for example when another host is to own the shard.
    void release();

    /// Appends the records of one or more jobs in one message to each replica. Jobs of few tasks
    /// should share an append, because each append costs two messages per replica whatever it
    /// carries.
    [[nodiscard]] append_result append(std::span<const job_records> records, core::time_ms now);

    /// Appends the records of one job.
    [[nodiscard]] append_result append(const job_records& records, core::time_ms now) {
        return append(std::span{&records, 1}, now);
    }

    /// Appends a sequence number without records. Once it is committed, this owner is known not to
    /// have been superseded at some time after the call, so its state was the latest one then.
    [[nodiscard]] append_result confirm_ownership(core::time_ms now);

    /// Drops submissions issued before `time`. Replicas drop them with the next append; tick()
    /// sends an append without records when the bound is `quorum_timeout` ahead of the last bound
    /// sent.
    void forget_before(core::time_ms time);

    /// Handles an answer of a replica. `wall_now` numbers a new generation if one has to be formed.
    [[nodiscard]] owner_effects handle(const replica_message& message, core::time_ms now,
                                       core::time_ms wall_now);

    /// Resends messages, probes silent replicas, and detects a lost or regained quorum. To be
    /// called every `resend_after`.
    [[nodiscard]] owner_effects tick(core::time_ms now, core::time_ms wall_now);

    [[nodiscard]] owner_phase phase() const noexcept { return phase_; }
    [[nodiscard]] bool is_serving() const noexcept { return phase_ == owner_phase::serving; }
    /// Whether a quorum of in-sync replicas answered within `quorum_timeout`.
    [[nodiscard]] bool has_quorum() const noexcept { return has_quorum_; }
    [[nodiscard]] epoch_number epoch() const noexcept { return epoch_; }
    [[nodiscard]] generation_number generation() const noexcept { return generation_; }
    /// Last append that a quorum holds.
    [[nodiscard]] std::uint64_t committed() const noexcept { return committed_; }
    [[nodiscard]] const shard_id& shard() const noexcept { return shard_; }

    /// All records including appends that are not committed yet.
    [[nodiscard]] const shard_state& state() const noexcept { return state_; }

    /// Whether some records of the submission are not committed yet.
    [[nodiscard]] bool is_pending(const submission_key& submission) const;

private:
    [[nodiscard]] std::size_t quorum() const noexcept { return replicas_.size() / 2 + 1; }
    [[nodiscard]] owner_term term() const;
    [[nodiscard]] replica_progress* find_replica(const replica_status& status);
    /// Whether the replica reported an earlier generation than the owner's.
    [[nodiscard]] bool is_outdated(const replica_progress& replica) const;
    [[nodiscard]] std::size_t count_synced() const;

    /// Chooses a higher epoch and asks all replicas to promise it.
    void start_fencing(core::time_ms now);
    void handle_fence_reply(replica_progress& replica, const fence_reply& reply, core::time_ms now);
    void handle_ack(replica_progress& replica, const ack& reply, core::time_ms now);
    /// Ends the fencing: continues the generation that a quorum holds, or forms a new one once no
    /// earlier one can have a quorum.
    void choose_generation(core::time_ms now, core::time_ms wall_now);
    /// Whether enough replicas have reported to tell that no generation with records can have a
    /// quorum.
    [[nodiscard]] bool may_form_generation(core::time_ms now) const;
    /// Merges the snapshots of `generation` and starts to write the result back to a quorum.
    void start_write_back(generation_number generation, core::time_ms now);
    /// Starts to form a new, empty generation.
    void start_forming(core::time_ms now, core::time_ms wall_now);
    void send_form_generation(replica_progress& replica, core::time_ms now);
    /// Starts to serve once a quorum holds the written state or the new generation.
    void start_serving_if_synced(core::time_ms now);
    /// Ends ownership, or starts again, if so many replicas have left the generation that it has no
    /// quorum.
    void check_generation(core::time_ms now);
    /// Reports a change of has_quorum().
    void check_quorum(core::time_ms now);
    void step_down(step_down_reason reason);
    /// Advances the committed sequence and trims the backlog.
    void advance_committed();
    /// Brings a replica that is recovering or in an earlier generation into this one. The snapshot
    /// is sent only after a quorum of other replicas has confirmed a new append: only then is this
    /// owner known not to have been superseded before it.
    void repair(replica_progress& replica, core::time_ms now);
    /// Appends `records` and sends them to all in-sync replicas that answer.
    void broadcast_append(std::span<const job_records> records, core::time_ms now);
    /// Sends what the replica needs next in the current phase, if anything.
    void send_next(replica_progress& replica, core::time_ms now);
    void send_next_to_member(replica_progress& replica, core::time_ms now);
    /// Sends the appends that the replica lacks, or a snapshot if they are no longer kept.
    void send_backlog(replica_progress& replica, core::time_ms now);
    void send_snapshot(replica_progress& replica, core::time_ms now);
    void send(replica_progress& replica, owner_message message, core::time_ms now);
    [[nodiscard]] owner_effects take_effects();

    shard_id shard_;
    owner_identity identity_;
    owner_settings settings_;
    std::vector<replica_progress> replicas_;

    owner_phase phase_ = owner_phase::idle;
    epoch_number epoch_ = 0;
    epoch_number highest_seen_epoch_ = 0; ///< Highest epoch that a replica has promised.
    generation_number generation_ = 0;
    generation_number last_formed_ = 0; ///< Last generation that this process tried to form.
    core::time_ms fencing_started_{};
    bool has_quorum_ = false;

    shard_state state_;
    core::time_ms sent_forget_before_{}; ///< Expiry bound in the last append.
    std::uint64_t sequence_ = 0;         ///< Of the last append.
    std::uint64_t committed_ = 0;
    std::deque<journal::append> backlog_; ///< Appends that some replica may lack.
    /// Last append of each submission that has uncommitted records.
    std::map<submission_key, std::uint64_t> pending_;
    owner_effects effects_;
};

} // namespace hawthornstall::journal
