#include "hawthornstall/journal/owner_log.hpp"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace hawthornstall::journal {
namespace detail {

/// Number of low bits of a generation that hold a hash of the process that forms it; the other bits
/// hold the wall-clock time in ms. The hash keeps the numbers apart when two processes form a
/// generation in the same millisecond.
constexpr unsigned generation_hash_bits = 16;

generation_number make_generation_number(core::time_ms wall_now, const owner_identity& identity) {
    const auto hash =
        XXH3_64bits_withSeed(identity.host.data(), identity.host.size(), identity.incarnation);
    const auto milliseconds = static_cast<std::uint64_t>(core::to_count(wall_now));
    return (milliseconds << generation_hash_bits) | (hash >> (64U - generation_hash_bits));
}

/// Limit on the appends that are resent to one replica at once; bounds the burst after a pause.
constexpr std::size_t max_appends_per_burst = 64;

} // namespace detail

owner_log::owner_log(shard_id shard, owner_identity identity, std::span<const std::string> replicas,
                     owner_settings settings)
    : shard_(std::move(shard)), identity_(std::move(identity)), settings_(settings) {
    for (const auto& name : replicas) {
        replicas_.emplace_back(name);
    }
}

owner_effects owner_log::take_ownership(core::time_ms now) {
    start_fencing(now);
    return take_effects();
}

void owner_log::release() {
    phase_ = owner_phase::idle;
    has_quorum_ = false;
    effects_.clear();
}

append_result owner_log::append(std::span<const job_records> records, core::time_ms now) {
    if (!is_serving()) {
        return {};
    }
    broadcast_append(records, now);
    for (const auto& job : records) {
        pending_[job.submission] = sequence_;
    }
    return {.sequence = sequence_, .effects = take_effects()};
}

append_result owner_log::confirm_ownership(core::time_ms now) {
    if (!is_serving()) {
        return {};
    }
    broadcast_append({}, now);
    return {.sequence = sequence_, .effects = take_effects()};
}

void owner_log::forget_before(core::time_ms time) {
    if (is_serving()) {
        state_.forget_before(time);
    }
}

owner_effects owner_log::handle(const replica_message& message, core::time_ms now,
                                core::time_ms wall_now) {
    const auto& status =
        std::visit([](const auto& body) -> const replica_status& { return body.status; }, message);
    const auto [shard, epoch] = std::visit(
        [](const auto& body) {
            return std::pair{body.shard, body.epoch};
        },
        message);
    auto* const replica = find_replica(status);
    if (replica == nullptr || shard != shard_) {
        return {};
    }
    highest_seen_epoch_ = std::max(highest_seen_epoch_, status.promised);
    if (phase_ == owner_phase::idle || epoch != epoch_ || !replica->update(status, now)) {
        return {};
    }
    if (const auto* const reply = std::get_if<fence_reply>(&message)) {
        handle_fence_reply(*replica, *reply, now);
    } else {
        handle_ack(*replica, std::get<ack>(message), now);
    }
    choose_generation(now, wall_now);
    start_serving_if_synced(now);
    check_generation(now);
    advance_committed();
    check_quorum(now);
    return take_effects();
}

owner_effects owner_log::tick(core::time_ms now, core::time_ms wall_now) {
    if (phase_ == owner_phase::idle) {
        return {};
    }
    const bool is_overdue = now - fencing_started_ >= settings_.quorum_timeout;
    if (is_overdue && (phase_ == owner_phase::fencing || phase_ == owner_phase::forming)) {
        // The reported statuses may be outdated: replicas may have restarted, or another candidate
        // may have given up.
        start_fencing(now);
        return take_effects();
    }
    choose_generation(now, wall_now);
    if (is_serving() &&
        state_.forgotten_before() - sent_forget_before_ >= settings_.quorum_timeout) {
        broadcast_append({}, now);
    }
    for (auto& replica : replicas_) {
        if (now - replica.sent_at >= settings_.resend_after) {
            send_next(replica, now);
        }
    }
    check_quorum(now);
    return take_effects();
}

bool owner_log::is_pending(const submission_key& submission) const {
    return pending_.contains(submission);
}

owner_term owner_log::term() const {
    return {.shard = shard_, .epoch = epoch_, .owner = identity_};
}

replica_progress* owner_log::find_replica(const replica_status& status) {
    const auto found = std::ranges::find(replicas_, status.replica, &replica_progress::name);
    return found == replicas_.end() ? nullptr : &*found;
}

bool owner_log::is_outdated(const replica_progress& replica) const {
    return replica.has_answered && replica.status.generation < generation_;
}

std::size_t owner_log::count_synced() const {
    return static_cast<std::size_t>(std::ranges::count_if(replicas_, &replica_progress::in_sync));
}

void owner_log::start_fencing(core::time_ms now) {
    epoch_ = std::max(epoch_, highest_seen_epoch_) + 1;
    phase_ = owner_phase::fencing;
    has_quorum_ = false;
    fencing_started_ = now;
    sequence_ = 0;
    committed_ = 0;
    backlog_.clear();
    pending_.clear();
    for (auto& replica : replicas_) {
        replica.reset();
        send(replica, fence{.term = term(), .wants_snapshot = true}, now);
    }
}

void owner_log::handle_fence_reply(replica_progress& replica, const fence_reply& reply,
                                   core::time_ms now) {
    const bool concerns_generation =
        phase_ == owner_phase::fencing || reply.status.generation == generation_;
    if (!reply.accepted && reply.status.generation != 0 && concerns_generation) {
        step_down(step_down_reason::superseded);
        return;
    }
    replica.fenced = reply.accepted;
    if (phase_ == owner_phase::fencing && reply.accepted && reply.snapshot) {
        replica.snapshot = reply.snapshot;
    }
    if (!replica.in_sync) {
        send_next(replica, now);
    }
}

void owner_log::handle_ack(replica_progress& replica, const ack& reply, core::time_ms now) {
    if (!reply.accepted) {
        if (reply.status.generation == generation_ && reply.status.promised > epoch_) {
            step_down(step_down_reason::superseded);
        } else if (phase_ == owner_phase::forming) {
            // The status of the replica has changed since it reported. The generation is abandoned
            // and its number is not used again, so that each replica joins a generation by
            // formation at most once.
            start_fencing(now);
        }
        return;
    }
    if (reply.status.generation != generation_ || phase_ == owner_phase::fencing) {
        return;
    }
    const bool is_new = !replica.in_sync;
    if (is_new || reply.applied > replica.applied) {
        replica.sent_at = now;
    }
    replica.in_sync = true;
    replica.applied = std::max(replica.applied, reply.applied);
    if (is_new && replica.applied < sequence_) {
        send_backlog(replica, now);
    }
    for (auto& other : replicas_) {
        if (other.barrier_sequence != 0 && !other.in_sync && !other.snapshot_sent) {
            repair(other, now);
        }
    }
}

void owner_log::choose_generation(core::time_ms now, core::time_ms wall_now) {
    if (phase_ != owner_phase::fencing) {
        return;
    }
    for (const auto& candidate : replicas_) {
        const auto generation = candidate.status.generation;
        const auto holds = [generation](const replica_progress& replica) {
            return replica.fenced && replica.snapshot && replica.status.generation == generation;
        };
        if (holds(candidate) &&
            static_cast<std::size_t>(std::ranges::count_if(replicas_, holds)) >= quorum()) {
            start_write_back(generation, now);
            return;
        }
    }
    if (may_form_generation(now)) {
        start_forming(now, wall_now);
    }
}

bool owner_log::may_form_generation(core::time_ms now) const {
    const auto reported =
        static_cast<std::size_t>(std::ranges::count_if(replicas_, &replica_progress::has_answered));
    const auto silent = replicas_.size() - reported;
    // A replica that has not answered yet gets one resend interval, because its report may show
    // that a generation still has a quorum.
    if (reported < quorum() || (silent > 0 && now - fencing_started_ < settings_.resend_after)) {
        return false;
    }
    const auto may_have_quorum = [this, silent](const replica_progress& candidate) {
        const auto generation = candidate.status.generation;
        const auto may_hold = [generation](const replica_progress& replica) {
            return replica.has_answered && replica.status.may_hold_records &&
                   replica.status.generation == generation;
        };
        const auto holders = static_cast<std::size_t>(std::ranges::count_if(replicas_, may_hold));
        return holders > 0 && holders + silent >= quorum();
    };
    return std::ranges::none_of(replicas_, may_have_quorum);
}

void owner_log::start_write_back(generation_number generation, core::time_ms now) {
    generation_ = generation;
    phase_ = owner_phase::writing_back;
    state_ = {};
    std::vector<const shard_snapshot*> snapshots;
    for (auto& replica : replicas_) {
        if (replica.snapshot && replica.status.generation == generation) {
            snapshots.push_back(&*replica.snapshot);
        }
        replica.formed_incarnation = 0;
    }
    std::ranges::sort(snapshots, {}, &shard_snapshot::written_by);
    for (const auto* const snapshot : snapshots) {
        state_.merge(*snapshot);
    }
    state_.mark_written_by(epoch_);
    for (auto& replica : replicas_) {
        replica.snapshot.reset();
    }
    sent_forget_before_ = state_.forgotten_before();
    for (auto& replica : replicas_) {
        send_next(replica, now);
    }
}

void owner_log::start_forming(core::time_ms now, core::time_ms wall_now) {
    generation_number highest = last_formed_;
    for (const auto& replica : replicas_) {
        highest = std::max(highest, replica.status.generation);
    }
    generation_ = std::max(detail::make_generation_number(wall_now, identity_), highest + 1);
    last_formed_ = generation_;
    phase_ = owner_phase::forming;
    state_ = {};
    sent_forget_before_ = {};
    for (auto& replica : replicas_) {
        replica.snapshot.reset();
        replica.formed_incarnation = 0;
        send_next(replica, now);
    }
}

void owner_log::send_form_generation(replica_progress& replica, core::time_ms now) {
    if (replica.formed_incarnation != 0 &&
        replica.formed_incarnation != replica.status.incarnation) {
        // The earlier incarnation may have joined this generation and promised an epoch to
        // another owner, so the new one must not join it empty.
        start_fencing(now);
        return;
    }
    replica.formed_incarnation = replica.status.incarnation;
    send(replica,
         form_generation{.term = term(), .generation = generation_, .expected = replica.status},
         now);
}

void owner_log::start_serving_if_synced(core::time_ms now) {
    const bool is_starting = phase_ == owner_phase::forming || phase_ == owner_phase::writing_back;
    if (!is_starting || count_synced() < quorum()) {
        return;
    }
    phase_ = owner_phase::serving;
    has_quorum_ = true;
    effects_.emplace_back(serving_started{.epoch = epoch_, .generation = generation_});
    for (auto& replica : replicas_) {
        const bool is_joining = replica.formed_incarnation == replica.status.incarnation;
        if (is_outdated(replica) && !is_joining) {
            repair(replica, now);
        }
    }
}

void owner_log::check_generation(core::time_ms now) {
    if (phase_ != owner_phase::writing_back && phase_ != owner_phase::serving) {
        return;
    }
    const auto has_left = [this](const replica_progress& replica) {
        return replica.has_answered && replica.status.generation != generation_;
    };
    const auto left = static_cast<std::size_t>(std::ranges::count_if(replicas_, has_left));
    if (replicas_.size() - left >= quorum()) {
        return;
    }
    if (is_serving()) {
        step_down(step_down_reason::generation_lost);
    } else {
        start_fencing(now);
    }
}

void owner_log::check_quorum(core::time_ms now) {
    if (!is_serving()) {
        return;
    }
    const auto answers = [this, now](const replica_progress& replica) {
        return replica.in_sync && now - replica.heard_at < settings_.quorum_timeout;
    };
    const bool has_quorum =
        static_cast<std::size_t>(std::ranges::count_if(replicas_, answers)) >= quorum();
    if (has_quorum != has_quorum_) {
        has_quorum_ = has_quorum;
        effects_.emplace_back(quorum_changed{.has_quorum = has_quorum});
    }
}

void owner_log::step_down(step_down_reason reason) {
    phase_ = owner_phase::idle;
    has_quorum_ = false;
    effects_.clear();
    effects_.emplace_back(stepped_down{.reason = reason});
}

void owner_log::advance_committed() {
    if (!is_serving()) {
        return;
    }
    std::vector<std::uint64_t> applied;
    for (const auto& replica : replicas_) {
        applied.push_back(replica.in_sync ? replica.applied : 0);
    }
    std::ranges::sort(applied, std::greater{});
    const auto committed = applied[quorum() - 1];
    if (committed > committed_) {
        committed_ = committed;
        std::erase_if(pending_, [committed](const auto& item) { return item.second <= committed; });
        effects_.emplace_back(appends_committed{.sequence = committed});
    }
    auto lowest_applied = sequence_;
    for (const auto& replica : replicas_) {
        lowest_applied = std::min(lowest_applied, replica.in_sync ? replica.applied : sequence_);
    }
    while (!backlog_.empty() && (backlog_.front().sequence <= lowest_applied ||
                                 backlog_.size() > settings_.max_backlog)) {
        backlog_.pop_front();
    }
}

void owner_log::repair(replica_progress& replica, core::time_ms now) {
    if (replica.barrier_sequence == 0) {
        broadcast_append({}, now);
        replica.barrier_sequence = sequence_;
    }
    const auto confirms = [&replica](const replica_progress& other) {
        return &other != &replica && other.in_sync && other.applied >= replica.barrier_sequence;
    };
    if (static_cast<std::size_t>(std::ranges::count_if(replicas_, confirms)) >= quorum()) {
        send_snapshot(replica, now);
    }
}

void owner_log::broadcast_append(std::span<const job_records> records, core::time_ms now) {
    ++sequence_;
    for (const auto& job : records) {
        state_.apply(job, epoch_);
    }
    sent_forget_before_ = state_.forgotten_before();
    backlog_.push_back({.term = term(),
                        .generation = generation_,
                        .sequence = sequence_,
                        .forget_before = sent_forget_before_,
                        .records = {records.begin(), records.end()}});
    for (auto& replica : replicas_) {
        const bool answers = now - replica.heard_at < settings_.quorum_timeout;
        if (replica.in_sync && answers) {
            const bool is_first = replica.applied + 1 == sequence_;
            const auto waiting_since = is_first ? now : replica.sent_at;
            send(replica, backlog_.back(), waiting_since);
        }
    }
}

void owner_log::send_next(replica_progress& replica, core::time_ms now) {
    switch (phase_) {
    case owner_phase::idle:
        return;
    case owner_phase::fencing:
        if (!replica.has_answered) {
            send(replica, fence{.term = term(), .wants_snapshot = true}, now);
        }
        return;
    case owner_phase::forming:
        if (replica.has_answered && !replica.in_sync) {
            send_form_generation(replica, now);
        }
        return;
    case owner_phase::writing_back:
    case owner_phase::serving:
        send_next_to_member(replica, now);
        return;
    }
}

void owner_log::send_next_to_member(replica_progress& replica, core::time_ms now) {
    const bool is_silent = now - replica.heard_at >= settings_.probe_interval;
    // Snapshots are large, so they are resent less often than appends.
    const bool is_snapshot_due =
        !replica.snapshot_sent || now - replica.sent_at >= settings_.probe_interval;
    if (is_silent) {
        if (now - replica.sent_at >= settings_.resend_after) {
            send(replica, fence{.term = term(), .wants_snapshot = false}, now);
        }
    } else if (replica.in_sync) {
        if (replica.applied < sequence_) {
            send_backlog(replica, now);
        }
    } else if (replica.fenced && replica.status.generation == generation_) {
        if (is_snapshot_due) {
            send_snapshot(replica, now);
        }
    } else if (is_serving() && is_outdated(replica) && is_snapshot_due) {
        repair(replica, now);
    }
}

void owner_log::send_backlog(replica_progress& replica, core::time_ms now) {
    if (backlog_.empty() || backlog_.front().sequence > replica.applied + 1) {
        send_snapshot(replica, now);
        return;
    }
    const auto first = static_cast<std::size_t>(replica.applied + 1 - backlog_.front().sequence);
    const auto last = std::min(backlog_.size(), first + detail::max_appends_per_burst);
    for (auto index = first; index < last; ++index) {
        send(replica, backlog_[index], now);
    }
}

void owner_log::send_snapshot(replica_progress& replica, core::time_ms now) {
    replica.snapshot_sent = true;
    send(replica,
         install_snapshot{.term = term(),
                          .generation = generation_,
                          .incarnation = replica.status.incarnation,
                          .sequence = sequence_,
                          .state = state_.snapshot()},
         now);
}

void owner_log::send(replica_progress& replica, owner_message message, core::time_ms now) {
    replica.sent_at = now;
    effects_.emplace_back(
        send_to_replica{.replica = replica.name(), .message = std::move(message)});
}

owner_effects owner_log::take_effects() {
    return std::exchange(effects_, {});
}

} // namespace hawthornstall::journal
