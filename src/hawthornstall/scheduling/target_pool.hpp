#pragma once

/// The known targets of one service in one zone, with their capacity, speed and health.

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

/// Keeps the state of all targets and an index of the free ones. A target stays in the pool until
/// it has been removed and its last attempt has ended. Updates and picks cost at most O(log
/// targets) besides a scan of the 64 speed buckets; no pick visits all targets.
template <capacity_model Capacity> class target_pool {
public:
    target_pool(const core::task_shape& shape, const ejection_rules& rules)
        : capacity_(shape), rules_(rules) {}

    /// Adds or updates a target. An unavailable target gets no new work.
    target_id upsert(std::string_view name, const core::target_capacity& capacity, bool available) {
        const auto [found, added] = ids_by_name_.try_emplace(std::string{name}, target_id{});
        if (added) {
            found->second = allocate_id();
            at(found->second).name = name;
            at(found->second).known = true;
            ++known_;
        }
        auto& target = at(found->second);
        const auto before = capacity_.total(target.capacity);
        capacity_.resize(target.capacity, capacity);
        const auto after = capacity_.total(target.capacity);
        large_enough_ += (after > 0 ? 1 : 0) - (!added && before > 0 ? 1 : 0);
        target.available = available;
        refresh(found->second);
        return found->second;
    }

    /// Removes a target. Its identifier stays valid until its last attempt has ended.
    void remove(std::string_view name) {
        const auto found = ids_by_name_.find(std::string{name});
        if (found == ids_by_name_.end()) {
            return;
        }
        const auto id = found->second;
        auto& target = at(id);
        target.known = false;
        target.available = false;
        --known_;
        large_enough_ -= capacity_.total(target.capacity) > 0 ? 1 : 0;
        end_exclusion(id);
        ids_by_name_.erase(found);
        refresh(id);
        release_id(id);
    }

    /// Updates the resource usage of a target.
    void report(target_id id, const usage_report& usage) {
        capacity_.report(at(id).capacity, usage);
        refresh(id);
    }

    /// Reserves the capacity of one task.
    void begin_attempt(target_id id) {
        ++at(id).in_flight;
        refresh(id);
    }

    /// Frees the capacity of one task.
    void end_attempt(target_id id) {
        --at(id).in_flight;
        refresh(id);
        release_id(id);
    }

    /// Records an answered task, which may readmit an ejected target.
    void on_success(target_id id) {
        auto& target = at(id);
        target.health.on_success();
        if (target.health.current() == target_health::phase::in_service) {
            end_exclusion(id);
        }
        refresh(id);
    }

    /// Records a failed task, which may eject the target.
    void on_failure(target_id id, core::time_ms now) {
        auto& target = at(id);
        if (!target.known) {
            return;
        }
        // A target under probe is still counted as excluded, so ejecting it again does not increase
        // the share.
        const bool may_eject =
            target.excluded || (excluded_ + 1) * 100 <= known_ * rules_.max_ejected_percent;
        const auto until = target.health.on_failure(rules_, may_eject, now);
        if (until > now) {
            excluded_ += target.excluded ? 0 : 1;
            target.excluded = true;
            target.ejected_until = until;
            ejection_ends_.insert({until, id});
        }
        refresh(id);
    }

    /// Ends the ejections and pauses that are due; targets whose ejection ends are probed next.
    void advance(core::time_ms now) {
        while (!ejection_ends_.empty() && ejection_ends_.begin()->first <= now) {
            const auto id = ejection_ends_.begin()->second;
            ejection_ends_.erase(ejection_ends_.begin());
            at(id).health.start_probe();
            probes_.push_back({id, now});
            refresh(id);
        }
        end_pauses(now);
    }

    /// Stops new work on a target that refused a task, until one of its attempts ends or until
    /// `until`, whichever comes first.
    void pause(target_id id, core::time_ms until) {
        auto& target = at(id);
        if (target.known && target.health.current() != target_health::phase::ejected) {
            // A pause replaces an earlier one, whose end must not lift it.
            pause_ends_.erase({target.paused_until, id});
            target.paused_until = until;
            target.in_flight_at_pause = target.in_flight;
            pause_ends_.insert({until, id});
            refresh(id);
        }
    }

    /// Returns the fastest free target if `policy` accepts it. The speeds and slots in `choice` are
    /// filled in here. `avoid` is chosen only if no other target is free.
    template <placement_policy Placement>
    [[nodiscard]] std::optional<target_id> pick(const Placement& policy, placement_choice choice,
                                                std::optional<target_id> avoid) {
        const auto target = free_targets_.pick(avoid);
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

    /// Returns a target to probe with the next task and removes it from the waiting probes. A task
    /// that may not be retried is used only after a probe has waited for
    /// `non_retryable_probe_delay`, so that a service without retries gets its targets back.
    [[nodiscard]] std::optional<target_id> take_probe(bool retryable, core::time_ms now) {
        if (probes_.empty() ||
            (!retryable && now < probes_.front().due + non_retryable_probe_delay)) {
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
        const auto found = ids_by_name_.find(std::string{name});
        return found == ids_by_name_.end() ? std::nullopt : std::optional{found->second};
    }

    /// Number of targets that have not been removed.
    [[nodiscard]] std::size_t known() const { return known_; }
    /// Number of targets that are ejected, or not readmitted yet by a successful probe.
    [[nodiscard]] std::size_t excluded() const { return excluded_; }
    /// Whether some known target is large enough for a task when it is idle.
    [[nodiscard]] bool any_large_enough() const { return large_enough_ > 0; }
    /// Sum over the targets in service of the tasks that each may hold, busy or not.
    [[nodiscard]] std::uint64_t usable_slots() const { return usable_slots_; }
    /// Sum of the speeds of these slots.
    [[nodiscard]] double usable_speed() const { return usable_speed_; }
    [[nodiscard]] bool any_free() const { return free_count_ > 0; }

    /// Time at which the next ejection or pause ends; empty if there is none.
    [[nodiscard]] std::optional<core::time_ms> next_event() const {
        std::optional<core::time_ms> next;
        if (!ejection_ends_.empty()) {
            next = ejection_ends_.begin()->first;
        }
        if (!pause_ends_.empty() && (!next || pause_ends_.begin()->first < *next)) {
            next = pause_ends_.begin()->first;
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
        std::optional<std::uint32_t> in_flight_at_pause; ///< Empty if the target is not paused.
        core::time_ms paused_until{};  ///< Of the last pause; its key in `pause_ends_`.
        core::time_ms ejected_until{}; ///< Of the last ejection; its key in `ejection_ends_`.
        bool known = false;
        bool available = false;
        bool excluded = false; ///< Ejected or not readmitted yet: counts towards the ejected share.
        std::uint32_t counted_slots = 0; ///< Slots of this target in the sums below.
        double counted_speed = 0.0;      ///< Speed of these slots in the sums below.
    };

    /// A target that waits for a task to probe it.
    struct due_probe {
        target_id target{};
        core::time_ms due{}; ///< Start of the wait.
    };

    /// How long a probe waits for a task that may be retried.
    static constexpr core::duration_ms non_retryable_probe_delay{5000};

    target_state& at(target_id id) { return targets_[static_cast<std::size_t>(id)]; }

    target_id allocate_id() {
        if (unused_ids_.empty()) {
            unused_ids_.push_back(static_cast<target_id>(targets_.size()));
            targets_.emplace_back();
            positions_.emplace_back();
        }
        const auto id = unused_ids_.back();
        unused_ids_.pop_back();
        at(id) = {};
        return id;
    }

    /// Frees the identifier of a removed target once its last attempt has ended.
    void release_id(target_id id) {
        if (!at(id).known && at(id).in_flight == 0) {
            std::erase_if(pause_ends_, [id](const auto& pause) { return pause.second == id; });
            std::erase_if(probes_, [id](const auto& probe) { return probe.target == id; });
            unused_ids_.push_back(id);
        }
    }

    /// Ends the pauses that are due.
    void end_pauses(core::time_ms now) {
        while (!pause_ends_.empty() && pause_ends_.begin()->first <= now) {
            const auto id = pause_ends_.begin()->second;
            pause_ends_.erase(pause_ends_.begin());
            at(id).in_flight_at_pause.reset();
            refresh(id);
        }
    }

    /// Stops counting a target in excluded(): a probe has succeeded, or the target was removed.
    void end_exclusion(target_id id) {
        auto& target = at(id);
        if (target.excluded) {
            target.excluded = false;
            --excluded_;
            ejection_ends_.erase({target.ejected_until, id});
        }
    }

    /// Tasks that the target can take now.
    [[nodiscard]] std::uint32_t free_slots(const target_state& target) const {
        const auto limit = target.health.max_in_flight();
        // A target under probe gets its single task through take_probe() only.
        if (!target.available || target.health.current() != target_health::phase::in_service ||
            (target.in_flight_at_pause && target.in_flight >= *target.in_flight_at_pause)) {
            return 0;
        }
        return std::min(capacity_.free(target.capacity, target.in_flight),
                        limit - std::min(limit, target.in_flight));
    }

    /// Updates the index of free targets and the sums after a change of one target.
    void refresh(target_id id) {
        auto& target = at(id);
        auto& position = positions_[static_cast<std::size_t>(id)];
        const auto bucket = speed_index::bucket_of(target.speed.value());
        const bool free = free_slots(target) > 0;
        if (position.index_in_bucket && (!free || position.bucket != bucket)) {
            free_targets_.remove(id, positions_);
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
            serves ? std::min(capacity_.total(target.capacity), target.health.max_in_flight()) : 0;
        target.counted_speed = target.counted_slots * target.speed.value();
        position.bucket = bucket;
        bucket_speed_[bucket] += target.counted_speed;
        bucket_slots_[bucket] += target.counted_slots;
        usable_slots_ += target.counted_slots;
        usable_speed_ += target.counted_speed;
        // Repeated addition and subtraction leaves rounding errors, so a sum over no slots is set
        // to exactly 0: a wait divided by such a remainder would be absurdly long.
        for (const auto touched : {previous_bucket, bucket}) {
            bucket_speed_[touched] = bucket_slots_[touched] == 0 ? 0.0 : bucket_speed_[touched];
        }
        usable_speed_ = usable_slots_ == 0 ? 0.0 : usable_speed_;
        if (free && !position.index_in_bucket) {
            free_targets_.add(id, bucket, positions_);
            ++free_count_;
        }
    }

    Capacity capacity_;
    ejection_rules rules_;
    std::vector<target_state> targets_;
    std::vector<target_id> unused_ids_;
    std::unordered_map<std::string, target_id> ids_by_name_;
    std::vector<speed_position> positions_;
    speed_index free_targets_;
    std::size_t free_count_ = 0;
    std::array<double, speed_index::bucket_count> bucket_speed_{};
    std::array<std::uint64_t, speed_index::bucket_count> bucket_slots_{};
    std::set<std::pair<core::time_ms, target_id>> ejection_ends_;
    std::set<std::pair<core::time_ms, target_id>> pause_ends_;
    std::deque<due_probe> probes_; ///< Longest wait first.
    std::size_t known_ = 0;
    std::size_t excluded_ = 0;
    std::size_t large_enough_ = 0; ///< Known targets that can hold a task when idle.
    std::uint64_t usable_slots_ = 0;
    double usable_speed_ = 0.0;
};

} // namespace hawthornstall::scheduling
