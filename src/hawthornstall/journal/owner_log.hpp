#pragma once

/// Owner's side of the journal of one shard.

#include "hawthornstall/journal/owner_peer.hpp"

#include <deque>
#include <map>
#include <span>
#include <string>
#include <variant>
#include <vector>

namespace hawthornstall::journal {

/// Times of the owner's side.
struct owner_settings {
    core::duration_ms resend_after{100};    ///< Unanswered messages are sent again.
    core::duration_ms probe_interval{500};  ///< Status request to a silent replica.
    core::duration_ms quorum_timeout{1500}; ///< Equal to the silence limit of the peer links.
    std::size_t max_backlog = 4096; ///< Appends kept for sending again; beyond, a copy is sent.
};

/// Send `message` to the replica named `replica`.
struct send_to_replica {
    std::string replica;
    owner_message message;
};

/// All appends up to `sequence` are held by a quorum.
struct appends_committed {
    std::uint64_t sequence = 0;
};

/// Appends are accepted from now on.
struct serving_started {
    epoch_number epoch = 0;
    generation_number generation = 0;
};

/// Why ownership ended.
enum class step_down_reason : std::uint8_t {
    superseded,      ///< A replica reported a higher epoch.
    generation_lost, ///< A quorum of replicas no longer holds the generation.
};

/// Ownership ended. Appends that were not committed may or may not survive.
struct stepped_down {
    step_down_reason reason = step_down_reason::superseded;
};

/// Whether a quorum of replicas answers. Appends wait while it doesn't.
struct quorum_changed {
    bool has_quorum = false;
};

using owner_effect =
    std::variant<send_to_replica, appends_committed, serving_started, stepped_down, quorum_changed>;
using owner_effects = std::vector<owner_effect>;

/// State of ownership.
enum class owner_phase : std::uint8_t {
    idle,
    fencing,      ///< Collects promises and records from a quorum.
    forming,      ///< Forms a new generation.
    writing_back, ///< Writes the merged records to a quorum.
    serving,
};

/// Result of an append; sequence 0 means that it was refused because the owner doesn't serve.
struct append_result {
    std::uint64_t sequence = 0;
    owner_effects effects;
};

/// State machine of one owner of one shard. docs/decisions/at-most-once.md has the safety argument.
class owner_log {
public:
    /// `replicas` are the names of the zone's replicas; the identity must be unique per process.
    owner_log(shard_id shard, owner_identity identity, std::span<const std::string> replicas,
              owner_settings settings = {});

    /// Starts to take ownership under an epoch above all that were seen.
    [[nodiscard]] owner_effects take_ownership(core::time_ms now);

    /// Gives up ownership, for example when another host is to own the shard.
    void release();

    /// Appends the records of one or more jobs in one message to each replica. Jobs of few tasks
    /// should share an append: it takes two messages per replica whatever it carries.
    [[nodiscard]] append_result append(std::span<const job_records> records, core::time_ms now);

    /// Appends the records of one job.
    [[nodiscard]] append_result append(const job_records& records, core::time_ms now) {
        return append(std::span{&records, 1}, now);
    }

    /// Appends nothing but a sequence number. Once it is committed, the state was the latest one at
    /// some time after this call.
    [[nodiscard]] append_result confirm_ownership(core::time_ms now);

    /// Drops submissions issued before `time`; replicas follow with the next append or probe.
    void forget_before(core::time_ms time);

    /// Takes an answer of a replica. `wall_now` numbers a new generation if one has to be formed.
    [[nodiscard]] owner_effects handle(const replica_message& message, core::time_ms now,
                                       core::time_ms wall_now);

    /// Sends again, probes, and notices a lost quorum. To be called every `resend_after`.
    [[nodiscard]] owner_effects tick(core::time_ms now, core::time_ms wall_now);

    [[nodiscard]] owner_phase phase() const noexcept { return phase_; }
    [[nodiscard]] bool is_serving() const noexcept { return phase_ == owner_phase::serving; }
    [[nodiscard]] bool has_quorum() const noexcept { return has_quorum_; }
    [[nodiscard]] epoch_number epoch() const noexcept { return epoch_; }
    [[nodiscard]] generation_number generation() const noexcept { return generation_; }
    [[nodiscard]] std::uint64_t committed() const noexcept { return committed_; }
    [[nodiscard]] const shard_id& shard() const noexcept { return shard_; }

    /// All records including appends that are not committed yet.
    [[nodiscard]] const shard_state& state() const noexcept { return state_; }

    /// Whether records of the submission wait for a quorum.
    [[nodiscard]] bool is_pending(const submission_key& submission) const;

private:
    [[nodiscard]] std::size_t quorum() const noexcept { return peers_.size() / 2 + 1; }
    [[nodiscard]] owner_term term() const;
    [[nodiscard]] owner_peer* find_peer(const replica_status& status);
    [[nodiscard]] bool is_outdated(const owner_peer& peer) const;
    [[nodiscard]] std::size_t count_synced() const;

    void start_round(core::time_ms now);
    void take_fence_reply(owner_peer& peer, const fence_reply& reply, core::time_ms now);
    void take_ack(owner_peer& peer, const ack& reply, core::time_ms now);
    void decide_round(core::time_ms now, core::time_ms wall_now);
    [[nodiscard]] bool may_form(core::time_ms now) const;
    void adopt(generation_number generation, core::time_ms now);
    void start_forming(core::time_ms now, core::time_ms wall_now);
    void send_form(owner_peer& peer, core::time_ms now);
    void check_started(core::time_ms now);
    void check_generation(core::time_ms now);
    void check_quorum(core::time_ms now);
    void step_down(step_down_reason reason);
    void commit();
    void repair(owner_peer& peer, core::time_ms now);
    void append_message(std::span<const job_records> records, core::time_ms now);
    void advance(owner_peer& peer, core::time_ms now);
    void advance_member(owner_peer& peer, core::time_ms now);
    void send_backlog(owner_peer& peer, core::time_ms now);
    void send_copy(owner_peer& peer, core::time_ms now);
    void send(owner_peer& peer, owner_message message, core::time_ms now);
    [[nodiscard]] owner_effects take_effects();

    shard_id shard_;
    owner_identity identity_;
    owner_settings settings_;
    std::vector<owner_peer> peers_;

    owner_phase phase_ = owner_phase::idle;
    epoch_number epoch_ = 0;
    epoch_number highest_seen_ = 0;
    generation_number generation_ = 0;
    generation_number last_formed_ = 0;
    core::time_ms round_started_{};
    bool has_quorum_ = false;

    shard_state state_;
    core::time_ms sent_forget_before_{};
    std::uint64_t sequence_ = 0;
    std::uint64_t committed_ = 0;
    std::deque<journal::append> backlog_;
    std::map<submission_key, std::uint64_t> pending_;
    owner_effects effects_;
};

} // namespace hawthornstall::journal
