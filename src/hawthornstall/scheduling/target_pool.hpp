#pragma once

/// The known targets of one service in one zone: capacity, speed, health, and which of them is
/// free.

#include "hawthornstall/scheduling/capacity_model.hpp"
#include "hawthornstall/scheduling/placement.hpp"
#include "hawthornstall/scheduling/run_time_model.hpp"
#include "hawthornstall/scheduling/speed_index.hpp"
#include "hawthornstall/scheduling/target_health.hpp"

#include <algorithm>
#include <array>
#include <deque>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace hawthornstall::scheduling {

/// Targets by number. All operations cost at most O(log targets); picking a target looks at the 64
/// speed buckets and never at all targets.
template <capacity_model Capacity> class target_pool {
public:
    target_pool(const core::task_shape& shape, const ejection_rules& rules)
        : capacity_(shape), rules_(rules) {}

    /// Adds a target or takes its new state. An unavailable target gets no new work.
    target_id upsert(std::string_view name, const core::target_capacity& capacity, bool available) {
        const auto [found, added] = numbers_.try_emplace(std::string{name}, target_id{});
        if (added) {
            found->second = allocate();
            at(found->second).name = name;
            at(found->second).known = true;
            ++known_;
        }
        auto& target = at(found->second);
        const auto before = capacity_.total(target.capacity);
        capacity_.resize(target.capacity, capacity);
        const auto after = capacity_.total(target.capacity);
        holding_ += (after > 0 ? 1 : 0) - (!added && before > 0 ? 1 : 0);
        target.available = available;
        refresh(found->second);
        return found->second;
    }

    /// Forgets a target. Its number stays valid until its last attempt has ended.
    void remove(std::string_view name) {
        const auto found = numbers_.find(std::string{name});
        if (found == numbers_.end()) {
            return;
        }
        const auto id = found->second;
        auto& target = at(id);
        target.known = false;
        target.available = false;
        --known_;
        holding_ -= capacity_.total(target.capacity) > 0 ? 1 : 0;
        unexclude(id);
        numbers_.erase(found);
        refresh(id);
        release_number(id);
    }

    void report(target_id id, const usage_report& usage) {
        capacity_.report(at(id).capacity, usage);
        refresh(id);
    }

    void begin_attempt(target_id id) {
        ++at(id).in_flight;
        refresh(id);
    }

    void end_attempt(target_id id) {
        --at(id).in_flight;
        refresh(id);
        release_number(id);
    }

    void on_success(target_id id) {
        auto& target = at(id);
        target.health.on_success();
        if (target.health.current() == target_health::phase::in_service) {
            unexclude(id);
        }
        refresh(id);
    }

    void on_failure(target_id id, core::time_ms now) {
        auto& target = at(id);
        if (!target.known) {
            return;
        }
        // A target under probe holds its place in the share, so its own ejection never exceeds it.
        const bool may_eject =
            target.excluded || (excluded_ + 1) * 100 <= known_ * rules_.max_ejected_percent;
        const auto until = target.health.on_failure(rules_, may_eject, now);
        if (until > now) {
            excluded_ += target.excluded ? 0 : 1;
            target.excluded = true;
            target.readmission = until;
            readmissions_.insert({until, id});
        }
        refresh(id);
    }

    /// Starts the probes and ends the pauses that are due.
    void advance(core::time_ms now) {
        while (!readmissions_.empty() && readmissions_.begin()->first <= now) {
            const auto id = readmissions_.begin()->second;
            readmissions_.erase(readmissions_.begin());
            at(id).health.start_probe();
            probes_.push_back({id, now});
            refresh(id);
        }
        end_pauses(now);
    }

    /// Keeps a target that refused a task from new ones until one of its attempts ends, or `until`.
    void pause(target_id id, core::time_ms until) {
        auto& target = at(id);
        if (target.known && target.health.current() != target_health::phase::ejected) {
            target.paused_at = target.in_flight;
            pauses_.insert({until, id});
            refresh(id);
        }
    }

    /// Fastest free target that `policy` takes for `choice`, whose speeds are filled in here.
    template <placement_policy Placement>
    [[nodiscard]] std::optional<target_id> pick(const Placement& policy, placement_choice choice,
                                                std::optional<target_id> avoid) {
        const auto target = free_.pick(avoid);
        if (!target) {
            return std::nullopt;
        }
        choice.free_speed = at(*target).speed.value();
        const std::size_t bucket = positions_[static_cast<std::size_t>(*target)].bucket;
        for (auto faster = bucket + 1; faster < speed_index::bucket_count; ++faster) {
            choice.faster_busy_speed += bucket_speed_[faster];
            choice.faster_busy_slots += static_cast<double>(bucket_slots_[faster]);
        }
        return policy.takes_free_target(choice) ? target : std::nullopt;
    }

    /// A target to probe. Work that may be retried goes first; other work probes only once a probe
    /// has waited for `probe_patience`, so that a service without retries gets its targets back.
    [[nodiscard]] std::optional<target_id> take_probe(bool retryable, core::time_ms now) {
        if (probes_.empty() || (!retryable && now < probes_.front().due + probe_patience)) {
            return std::nullopt;
        }
        const auto id = probes_.front().target;
        probes_.pop_front();
        const auto& target = at(id);
        const bool usable = target.known && target.available && target.in_flight == 0 &&
                            target.health.current() == target_health::phase::probing &&
                            capacity_.free(target.capacity, 0) > 0;
        if (!usable && target.known && target.health.current() == target_health::phase::probing) {
            probes_.push_back({id, now});
        }
        return usable ? std::optional{id} : std::nullopt;
    }

    [[nodiscard]] learned_speed& speed(target_id id) { return at(id).speed; }
    [[nodiscard]] std::string_view name(target_id id) const {
        return targets_[static_cast<std::size_t>(id)].name;
    }
    [[nodiscard]] std::optional<target_id> find(std::string_view name) const {
        const auto found = numbers_.find(std::string{name});
        return found == numbers_.end() ? std::nullopt : std::optional{found->second};
    }

    [[nodiscard]] std::size_t known() const { return known_; }
    [[nodiscard]] std::size_t excluded() const { return excluded_; } ///< Ejected or under probe.
    /// True when some known target is large enough for a task.
    [[nodiscard]] bool any_holds() const { return holding_ > 0; }
    /// Tasks that the targets in service hold together, and their speed together.
    [[nodiscard]] std::uint64_t usable_slots() const { return usable_slots_; }
    [[nodiscard]] double usable_speed() const { return usable_speed_; }
    [[nodiscard]] bool any_free() const { return free_count_ > 0; }

    /// Time of the next probe or end of a pause.
    [[nodiscard]] std::optional<core::time_ms> next_event() const {
        std::optional<core::time_ms> next;
        if (!readmissions_.empty()) {
            next = readmissions_.begin()->first;
        }
        if (!pauses_.empty() && (!next || pauses_.begin()->first < *next)) {
            next = pauses_.begin()->first;
        }
        return next;
    }

private:
    struct target_state {
        std::string name;
        typename Capacity::state capacity;
        learned_speed speed;
        target_health health;
        std::uint32_t in_flight = 0;
        std::optional<std::uint32_t> paused_at; ///< Attempts in flight when it was paused.
        core::time_ms readmission{};
        bool known = false;
        bool available = false;
        bool excluded = false;           ///< Counts towards the share of ejected targets.
        std::uint32_t counted_slots = 0; ///< What the sums hold for this target.
        double counted_speed = 0.0;
    };

    /// A target that waits for its probe.
    struct waiting_probe {
        target_id target{};
        core::time_ms due{};
    };

    static constexpr core::duration_ms probe_patience{5000};

    target_state& at(target_id id) { return targets_[static_cast<std::size_t>(id)]; }

    target_id allocate() {
        if (unused_.empty()) {
            unused_.push_back(static_cast<target_id>(targets_.size()));
            targets_.emplace_back();
            positions_.emplace_back();
        }
        const auto id = unused_.back();
        unused_.pop_back();
        at(id) = {};
        return id;
    }

    void release_number(target_id id) {
        if (!at(id).known && at(id).in_flight == 0) {
            std::erase_if(pauses_, [id](const auto& pause) { return pause.second == id; });
            std::erase_if(probes_, [id](const auto& probe) { return probe.target == id; });
            unused_.push_back(id);
        }
    }

    /// Ends the pauses that are due.
    void end_pauses(core::time_ms now) {
        while (!pauses_.empty() && pauses_.begin()->first <= now) {
            const auto id = pauses_.begin()->second;
            pauses_.erase(pauses_.begin());
            at(id).paused_at.reset();
            refresh(id);
        }
    }

    void unexclude(target_id id) {
        auto& target = at(id);
        if (target.excluded) {
            target.excluded = false;
            --excluded_;
            readmissions_.erase({target.readmission, id});
        }
    }

    [[nodiscard]] std::uint32_t free_slots(const target_state& target) const {
        const auto limit = target.health.limit();
        // Probes are handed out by take_probe() only.
        if (!target.available || target.health.current() != target_health::phase::in_service ||
            (target.paused_at && target.in_flight >= *target.paused_at)) {
            return 0;
        }
        return std::min(capacity_.free(target.capacity, target.in_flight),
                        limit - std::min(limit, target.in_flight));
    }

    /// Brings the index of free targets and the sums up to date with one target.
    void refresh(target_id id) {
        auto& target = at(id);
        auto& position = positions_[static_cast<std::size_t>(id)];
        const auto bucket = speed_index::bucket_of(target.speed.value());
        const bool free = free_slots(target) > 0;
        if (position.place && (!free || position.bucket != bucket)) {
            free_.remove(id, positions_);
            --free_count_;
        }
        const auto previous_bucket = position.bucket;
        bucket_speed_[position.bucket] -= target.counted_speed;
        bucket_slots_[position.bucket] -= target.counted_slots;
        usable_slots_ -= target.counted_slots;
        usable_speed_ -= target.counted_speed;
        const bool serves =
            target.available && target.health.current() == target_health::phase::in_service;
        target.counted_slots =
            serves ? std::min(capacity_.total(target.capacity), target.health.limit()) : 0;
        target.counted_speed = target.counted_slots * target.speed.value();
        position.bucket = bucket;
        bucket_speed_[bucket] += target.counted_speed;
        bucket_slots_[bucket] += target.counted_slots;
        usable_slots_ += target.counted_slots;
        usable_speed_ += target.counted_speed;
        // Adding and subtracting leaves a rest of rounding errors, which is no speed.
        for (const auto touched : {previous_bucket, bucket}) {
            bucket_speed_[touched] = bucket_slots_[touched] == 0 ? 0.0 : bucket_speed_[touched];
        }
        usable_speed_ = usable_slots_ == 0 ? 0.0 : usable_speed_;
        if (free && !position.place) {
            free_.add(id, bucket, positions_);
            ++free_count_;
        }
    }

    Capacity capacity_;
    ejection_rules rules_;
    std::vector<target_state> targets_;
    std::vector<target_id> unused_;
    std::unordered_map<std::string, target_id> numbers_;
    std::vector<speed_position> positions_;
    speed_index free_;
    std::size_t free_count_ = 0;
    std::array<double, speed_index::bucket_count> bucket_speed_{};
    std::array<std::uint64_t, speed_index::bucket_count> bucket_slots_{};
    std::set<std::pair<core::time_ms, target_id>> readmissions_;
    std::set<std::pair<core::time_ms, target_id>> pauses_;
    std::deque<waiting_probe> probes_;
    std::size_t known_ = 0;
    std::size_t excluded_ = 0;
    std::size_t holding_ = 0;
    std::uint64_t usable_slots_ = 0;
    double usable_speed_ = 0.0;
};

} // namespace hawthornstall::scheduling
