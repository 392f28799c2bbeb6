#include "hawthornstall/journal/owner_log.hpp"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace hawthornstall::journal {
namespace detail {

/// A generation is the wall-clock time in ms with the low bits set by the process that forms it, so
/// that two processes that form one in the same millisecond choose different numbers.
constexpr unsigned generation_salt_bits = 16;

generation_number number_generation(core::time_ms wall_now, const owner_identity& identity) {
    const auto hash =
        XXH3_64bits_withSeed(identity.host.data(), identity.host.size(), identity.incarnation);
    const auto milliseconds = static_cast<std::uint64_t>(core::to_count(wall_now));
    return (milliseconds << generation_salt_bits) | (hash >> (64U - generation_salt_bits));
}

/// Most appends sent to one replica at once; bounds the burst after a pause.
constexpr std::size_t max_burst = 64;

} // namespace detail

owner_log::owner_log(shard_id shard, owner_identity identity, std::span<const std::string> replicas,
                     owner_settings settings)
    : shard_(std::move(shard)), identity_(std::move(identity)), settings_(settings) {
    for (const auto& name : replicas) {
        peers_.emplace_back(name);
    }
}

owner_effects owner_log::take_ownership(core::time_ms now) {
    start_round(now);
    return take_effects();
}

void owner_log::release() {
    phase_ = owner_phase::idle;
    has_quorum_ = false;
    effects_.clear();
}

append_result owner_log::append(const job_records& records, core::time_ms now) {
    if (!is_serving()) {
        return {};
    }
    append_message(records, now);
    pending_[records.submission] = sequence_;
    return {.sequence = sequence_, .effects = take_effects()};
}

append_result owner_log::confirm_ownership(core::time_ms now) {
    if (!is_serving()) {
        return {};
    }
    append_message(std::nullopt, now);
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
    auto* const peer = find_peer(status);
    if (peer == nullptr || shard != shard_) {
        return {};
    }
    highest_seen_ = std::max(highest_seen_, status.promised);
    if (phase_ == owner_phase::idle || epoch != epoch_ || !peer->update(status, now)) {
        return {};
    }
    if (const auto* const reply = std::get_if<fence_reply>(&message)) {
        take_fence_reply(*peer, *reply, now);
    } else {
        take_ack(*peer, std::get<ack>(message), now);
    }
    decide_round(now, wall_now);
    check_started(now);
    check_generation(now);
    commit();
    check_quorum(now);
    return take_effects();
}

owner_effects owner_log::tick(core::time_ms now, core::time_ms wall_now) {
    if (phase_ == owner_phase::idle) {
        return {};
    }
    const bool is_overdue = now - round_started_ >= settings_.quorum_timeout;
    if (is_overdue && (phase_ == owner_phase::fencing || phase_ == owner_phase::forming)) {
        // Reports may be outdated by now: replicas restarted, or another candidate gave up.
        start_round(now);
        return take_effects();
    }
    decide_round(now, wall_now);
    if (is_serving() &&
        state_.forgotten_before() - sent_forget_before_ >= settings_.quorum_timeout) {
        append_message(std::nullopt, now);
    }
    for (auto& peer : peers_) {
        if (now - peer.sent_at >= settings_.resend_after) {
            advance(peer, now);
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

owner_peer* owner_log::find_peer(const replica_status& status) {
    const auto found = std::ranges::find(peers_, status.replica, &owner_peer::name);
    return found == peers_.end() ? nullptr : &*found;
}

bool owner_log::is_outdated(const owner_peer& peer) const {
    return peer.reported && peer.status.generation < generation_;
}

std::size_t owner_log::count_synced() const {
    return static_cast<std::size_t>(std::ranges::count_if(peers_, &owner_peer::synced));
}

void owner_log::start_round(core::time_ms now) {
    epoch_ = std::max(epoch_, highest_seen_) + 1;
    phase_ = owner_phase::fencing;
    has_quorum_ = false;
    round_started_ = now;
    sequence_ = 0;
    committed_ = 0;
    backlog_.clear();
    pending_.clear();
    for (auto& peer : peers_) {
        peer.reset();
        send(peer, fence{.term = term(), .wants_records = true}, now);
    }
}

void owner_log::take_fence_reply(owner_peer& peer, const fence_reply& reply, core::time_ms now) {
    const bool concerns_generation =
        phase_ == owner_phase::fencing || reply.status.generation == generation_;
    if (!reply.accepted && reply.status.generation != 0 && concerns_generation) {
        step_down(step_down_reason::superseded);
        return;
    }
    peer.fenced = reply.accepted;
    if (phase_ == owner_phase::fencing && reply.accepted && reply.records) {
        peer.records = reply.records;
    }
    if (!peer.synced) {
        advance(peer, now);
    }
}

void owner_log::take_ack(owner_peer& peer, const ack& reply, core::time_ms now) {
    if (!reply.accepted) {
        if (reply.status.generation == generation_ && reply.status.promised > epoch_) {
            step_down(step_down_reason::superseded);
        } else if (phase_ == owner_phase::forming) {
            // A replica changed since it reported. The number of the generation is given up, so
            // that each replica joins a generation by formation at most once.
            start_round(now);
        }
        return;
    }
    if (reply.status.generation != generation_ || phase_ == owner_phase::fencing) {
        return;
    }
    const bool is_new = !peer.synced;
    if (is_new || reply.applied > peer.applied) {
        peer.sent_at = now;
    }
    peer.synced = true;
    peer.applied = std::max(peer.applied, reply.applied);
    if (is_new && peer.applied < sequence_) {
        send_backlog(peer, now);
    }
    for (auto& other : peers_) {
        if (other.confirm_at != 0 && !other.synced && !other.is_copied) {
            repair(other, now);
        }
    }
}

void owner_log::decide_round(core::time_ms now, core::time_ms wall_now) {
    if (phase_ != owner_phase::fencing) {
        return;
    }
    for (const auto& candidate : peers_) {
        const auto generation = candidate.status.generation;
        const auto holds = [generation](const owner_peer& peer) {
            return peer.fenced && peer.records && peer.status.generation == generation;
        };
        if (holds(candidate) &&
            static_cast<std::size_t>(std::ranges::count_if(peers_, holds)) >= quorum()) {
            adopt(generation, now);
            return;
        }
    }
    if (may_form(now)) {
        start_forming(now, wall_now);
    }
}

bool owner_log::may_form(core::time_ms now) const {
    const auto reported =
        static_cast<std::size_t>(std::ranges::count_if(peers_, &owner_peer::reported));
    const auto silent = peers_.size() - reported;
    // A silent replica gets one resend interval to show that a generation still has its quorum.
    if (reported < quorum() || (silent > 0 && now - round_started_ < settings_.resend_after)) {
        return false;
    }
    const auto may_have_quorum = [this, silent](const owner_peer& candidate) {
        const auto generation = candidate.status.generation;
        const auto uses = [generation](const owner_peer& peer) {
            return peer.reported && peer.status.used && peer.status.generation == generation;
        };
        const auto holders = static_cast<std::size_t>(std::ranges::count_if(peers_, uses));
        return holders > 0 && holders + silent >= quorum();
    };
    return std::ranges::none_of(peers_, may_have_quorum);
}

void owner_log::adopt(generation_number generation, core::time_ms now) {
    generation_ = generation;
    phase_ = owner_phase::writing_back;
    state_ = {};
    for (auto& peer : peers_) {
        if (peer.records && peer.status.generation == generation) {
            state_.merge(*peer.records);
        }
        peer.formed_incarnation = 0;
        peer.records.reset();
    }
    sent_forget_before_ = state_.forgotten_before();
    for (auto& peer : peers_) {
        advance(peer, now);
    }
}

void owner_log::start_forming(core::time_ms now, core::time_ms wall_now) {
    generation_number highest = last_formed_;
    for (const auto& peer : peers_) {
        highest = std::max(highest, peer.status.generation);
    }
    generation_ = std::max(detail::number_generation(wall_now, identity_), highest + 1);
    last_formed_ = generation_;
    phase_ = owner_phase::forming;
    state_ = {};
    sent_forget_before_ = {};
    for (auto& peer : peers_) {
        peer.records.reset();
        peer.formed_incarnation = 0;
        advance(peer, now);
    }
}

void owner_log::send_form(owner_peer& peer, core::time_ms now) {
    if (peer.formed_incarnation != 0 && peer.formed_incarnation != peer.status.incarnation) {
        // The earlier incarnation may have joined and voted for another owner of this generation.
        start_round(now);
        return;
    }
    peer.formed_incarnation = peer.status.incarnation;
    send(peer, form{.term = term(), .generation = generation_, .expected = peer.status}, now);
}

void owner_log::check_started(core::time_ms now) {
    const bool is_starting = phase_ == owner_phase::forming || phase_ == owner_phase::writing_back;
    if (!is_starting || count_synced() < quorum()) {
        return;
    }
    phase_ = owner_phase::serving;
    has_quorum_ = true;
    effects_.emplace_back(serving_started{.epoch = epoch_, .generation = generation_});
    for (auto& peer : peers_) {
        const bool is_joining = peer.formed_incarnation == peer.status.incarnation;
        if (is_outdated(peer) && !is_joining) {
            repair(peer, now);
        }
    }
}

void owner_log::check_generation(core::time_ms now) {
    if (phase_ != owner_phase::writing_back && phase_ != owner_phase::serving) {
        return;
    }
    const auto has_left = [this](const owner_peer& peer) {
        return peer.reported && peer.status.generation != generation_;
    };
    const auto left = static_cast<std::size_t>(std::ranges::count_if(peers_, has_left));
    if (peers_.size() - left >= quorum()) {
        return;
    }
    if (is_serving()) {
        step_down(step_down_reason::generation_lost);
    } else {
        start_round(now);
    }
}

void owner_log::check_quorum(core::time_ms now) {
    if (!is_serving()) {
        return;
    }
    const auto answers = [this, now](const owner_peer& peer) {
        return peer.synced && now - peer.heard_at < settings_.quorum_timeout;
    };
    const bool has_quorum =
        static_cast<std::size_t>(std::ranges::count_if(peers_, answers)) >= quorum();
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

void owner_log::commit() {
    if (!is_serving()) {
        return;
    }
    std::vector<std::uint64_t> held;
    for (const auto& peer : peers_) {
        held.push_back(peer.synced ? peer.applied : 0);
    }
    std::ranges::sort(held, std::greater{});
    const auto committed = held[quorum() - 1];
    if (committed > committed_) {
        committed_ = committed;
        std::erase_if(pending_, [committed](const auto& item) { return item.second <= committed; });
        effects_.emplace_back(appends_committed{.sequence = committed});
    }
    auto needed = sequence_;
    for (const auto& peer : peers_) {
        needed = std::min(needed, peer.synced ? peer.applied : sequence_);
    }
    while (!backlog_.empty() &&
           (backlog_.front().sequence <= needed || backlog_.size() > settings_.max_backlog)) {
        backlog_.pop_front();
    }
}

void owner_log::repair(owner_peer& peer, core::time_ms now) {
    if (peer.confirm_at == 0) {
        append_message(std::nullopt, now);
        peer.confirm_at = sequence_;
    }
    const auto confirms = [&peer](const owner_peer& other) {
        return &other != &peer && other.synced && other.applied >= peer.confirm_at;
    };
    if (static_cast<std::size_t>(std::ranges::count_if(peers_, confirms)) >= quorum()) {
        send_copy(peer, now);
    }
}

void owner_log::append_message(const std::optional<job_records>& records, core::time_ms now) {
    ++sequence_;
    if (records) {
        state_.apply(*records, epoch_);
    }
    sent_forget_before_ = state_.forgotten_before();
    backlog_.push_back({.term = term(),
                        .generation = generation_,
                        .sequence = sequence_,
                        .forget_before = sent_forget_before_,
                        .records = records});
    for (auto& peer : peers_) {
        const bool answers = now - peer.heard_at < settings_.quorum_timeout;
        if (peer.synced && answers) {
            const bool is_first = peer.applied + 1 == sequence_;
            const auto waiting_since = is_first ? now : peer.sent_at;
            send(peer, backlog_.back(), waiting_since);
        }
    }
}

void owner_log::advance(owner_peer& peer, core::time_ms now) {
    switch (phase_) {
    case owner_phase::idle:
        return;
    case owner_phase::fencing:
        if (!peer.reported) {
            send(peer, fence{.term = term(), .wants_records = true}, now);
        }
        return;
    case owner_phase::forming:
        if (peer.reported && !peer.synced) {
            send_form(peer, now);
        }
        return;
    case owner_phase::writing_back:
    case owner_phase::serving:
        advance_member(peer, now);
        return;
    }
}

void owner_log::advance_member(owner_peer& peer, core::time_ms now) {
    const bool is_silent = now - peer.heard_at >= settings_.probe_interval;
    // Copies are large, so they are sent again less often than appends.
    const bool is_copy_due = !peer.is_copied || now - peer.sent_at >= settings_.probe_interval;
    if (is_silent) {
        if (now - peer.sent_at >= settings_.resend_after) {
            send(peer, fence{.term = term(), .wants_records = false}, now);
        }
    } else if (peer.synced) {
        if (peer.applied < sequence_) {
            send_backlog(peer, now);
        }
    } else if (peer.fenced && peer.status.generation == generation_) {
        if (is_copy_due) {
            send_copy(peer, now);
        }
    } else if (is_serving() && is_outdated(peer) && is_copy_due) {
        repair(peer, now);
    }
}

void owner_log::send_backlog(owner_peer& peer, core::time_ms now) {
    if (backlog_.empty() || backlog_.front().sequence > peer.applied + 1) {
        send_copy(peer, now);
        return;
    }
    const auto first = static_cast<std::size_t>(peer.applied + 1 - backlog_.front().sequence);
    const auto last = std::min(backlog_.size(), first + detail::max_burst);
    for (auto index = first; index < last; ++index) {
        send(peer, backlog_[index], now);
    }
}

void owner_log::send_copy(owner_peer& peer, core::time_ms now) {
    peer.is_copied = true;
    send(peer,
         copy{.term = term(),
              .generation = generation_,
              .incarnation = peer.status.incarnation,
              .sequence = sequence_,
              .state = state_.snapshot()},
         now);
}

void owner_log::send(owner_peer& peer, owner_message message, core::time_ms now) {
    peer.sent_at = now;
    effects_.emplace_back(send_to_replica{.replica = peer.name(), .message = std::move(message)});
}

owner_effects owner_log::take_effects() {
    return std::exchange(effects_, {});
}

} // namespace hawthornstall::journal
