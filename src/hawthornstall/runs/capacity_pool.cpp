#include "hawthornstall/runs/capacity_pool.hpp"

#include <algorithm>
#include <cmath>
#include <set>
#include <tuple>
#include <vector>

namespace hawthornstall::runs {
namespace detail {

/// Weight of the newest run in the moving average of a target's slowness. It is low because
/// declared run times are off by half.
constexpr double slowness_weight = 0.1;

/// Targets whose slowness differs by less than this ratio count as equally fast, so that the best
/// fit decides between them.
constexpr double slowness_class_ratio = 1.25;

/// Upper limit of the ratio that a single run contributes, so that one outlier has little effect.
constexpr double max_slowness_sample = 8.0;

/// All lease holders report to a new scheduler within this time after the first report.
constexpr core::duration_ms report_grace{1'000};

/// From the grant of a run to its end at the scheduler, beside the run itself: calls and messages.
constexpr core::duration_ms message_time{10};

/// A cold target is taken to be this many times as slow, as in pooled_target::order_class().
constexpr double cold_slowness = 1.5;

/// Expected time from the grant of a task to its end.
core::duration_ms duration_on(const pooled_target& item, const job_step& step) {
    const auto cold_factor = item.target.cold ? cold_slowness : 1.0;
    const auto run = cold_factor * item.slowness * static_cast<double>(step.estimated.count());
    return message_time + core::duration_ms{static_cast<core::duration_ms::rep>(run)};
}

bool has_label(const held_target& target, std::string_view label) {
    return label.empty() || std::ranges::find(target.labels, label) != target.labels.end();
}

/// Orders lease holders by what the choice of their target costs: nothing for the front end itself,
/// one more run at a host that the job depends on already, or one more host.
int holder_rank(std::string_view holder, const placement_request& request) {
    if (holder == request.front_end) {
        return 0;
    }
    const bool has_run =
        std::ranges::find(request.job_holders, holder) != request.job_holders.end();
    return has_run ? 1 : 2;
}

/// Further tasks of this size that a target can take after one more.
std::int64_t slots_left(const pooled_target& item, std::int64_t cpu_millis) {
    const auto size = std::max<std::int64_t>(cpu_millis, 1);
    return (item.free().cpu_millis - cpu_millis) / size;
}

int slowness_class(double slowness) {
    return static_cast<int>(std::floor(std::log(slowness) / std::log(slowness_class_ratio) + 0.5));
}

} // namespace detail

void capacity_pool::report(const std::string& holder, const target_report& report,
                           core::time_ms now) {
    first_report_ = first_report_.value_or(now);
    std::set<std::string_view> named;
    for (const auto& target : report.targets) {
        named.insert(target.id);
        auto& item = targets_.try_emplace(target.id).first->second;
        if (item.holder != holder || item.target != target) {
            replace_report(item, holder, target);
        }
    }
    for (const auto* const item : by_holder_.find(holder)) {
        if (!named.contains(item->target.id)) {
            set_unusable(targets_.find(item->target.id)->second);
        }
    }
}

/// Replaces what is known about a target by what its present holder reports.
void capacity_pool::replace_report(pooled_target& item, const std::string& holder,
                                   const held_target& target) {
    leave_groups(item);
    update(item, [&](pooled_target& changed) {
        if (changed.target.incarnation != target.incarnation) {
            changed.health = {};
            changed.ejected_until = {};
        }
        changed.target = target;
        changed.drained = drained_zones_.contains(target.zone);
        changed.holder = holder;
    });
    join_groups(item);
}

void capacity_pool::set_unusable(pooled_target& item) {
    update(item, [](pooled_target& changed) { changed.target.usable = false; });
}

template <std::invocable<pooled_target&> Change>
void capacity_pool::update(pooled_target& item, Change change) {
    order_.erase(item);
    add_usable_cpu(item, -1);
    change(item);
    add_usable_cpu(item, 1);
    order_.insert(item);
}

void capacity_pool::add_usable_cpu(const pooled_target& item, std::int64_t sign) {
    if (item.is_usable()) {
        usable_cpu_[item.target.service] += sign * item.target.capacity.cpu_millis;
        usable_targets_[item.target.service] += sign;
    }
}

void capacity_pool::join_groups(const pooled_target& item) {
    by_holder_.insert(item.holder, item);
    for (const auto& label : item.target.labels) {
        by_label_.insert(label, item);
    }
}

void capacity_pool::leave_groups(const pooled_target& item) {
    by_holder_.erase(item.holder, item);
    for (const auto& label : item.target.labels) {
        by_label_.erase(label, item);
    }
}

void capacity_pool::invalidate() {
    for (auto& [id, item] : targets_) {
        set_unusable(item);
    }
    first_report_.reset();
}

void capacity_pool::set_drained_zones(std::span<const std::string> zones) {
    drained_zones_ = {zones.begin(), zones.end()};
    for (auto& [id, item] : targets_) {
        update(item, [&](pooled_target& changed) {
            changed.drained = drained_zones_.contains(changed.target.zone);
        });
    }
}

void capacity_pool::remove_holder(std::string_view holder) {
    const auto held = by_holder_.find(holder);
    const std::vector<const pooled_target*> items{held.begin(), held.end()};
    for (const auto* const item : items) {
        const auto position = targets_.find(item->target.id);
        leave_groups(*item);
        set_unusable(position->second);
        targets_.erase(position);
    }
}

bool capacity_pool::has_free_target(std::string_view service, const core::resources& resources,
                                    core::time_ms now) const {
    return order_.find(service, resources.cpu_millis, [&](const pooled_target& item) {
        return item.can_accept(resources) && now >= item.ejected_until;
    }) != nullptr;
}

bool capacity_pool::is_eligible(const pooled_target& item, const placement_request& request,
                                core::time_ms now) {
    ++targets_examined_;
    const auto& target = item.target;
    return item.can_accept(request.step->resources) && now >= item.ejected_until &&
           target.service == request.service &&
           detail::has_label(target, request.step->required_label) &&
           std::ranges::find(request.excluded, target.id) == request.excluded.end() &&
           (request.reserved == nullptr || target.id == request.own_target ||
            request.reserved->allows(target.id, request.step->resources,
                                     now + detail::duration_on(item, *request.step),
                                     request.policy));
}

std::optional<forecast_fit> capacity_pool::fit_on(const pooled_target& item,
                                                  const placement_request& request,
                                                  const end_forecast& ends, core::time_ms now) {
    const auto& target = item.target;
    const auto& wanted = request.step->resources;
    const bool is_possible =
        item.is_usable() && now >= item.ejected_until &&
        item.running < item.health.max_in_flight() && target.service == request.service &&
        target.capacity.holds(wanted) && detail::has_label(target, request.step->required_label) &&
        std::ranges::find(request.excluded, target.id) == request.excluded.end();
    if (!is_possible) {
        return std::nullopt;
    }
    const auto at = ends.fits_at(target.id, item.free(), wanted, now);
    if (!at) {
        return std::nullopt;
    }
    return forecast_fit{.target = target.id,
                        .at = *at,
                        .beside = item.free() + ends.freed_by(target.id, *at, now) - wanted};
}

std::optional<forecast_fit> capacity_pool::fit_on(std::string_view target,
                                                  const placement_request& request,
                                                  const end_forecast& ends,
                                                  core::time_ms now) const {
    const auto found = targets_.find(target);
    return found == targets_.end() ? std::nullopt : fit_on(found->second, request, ends, now);
}

std::optional<forecast_fit> capacity_pool::earliest_fit(const placement_request& request,
                                                        const end_forecast& ends,
                                                        core::time_ms now) const {
    std::optional<forecast_fit> best;
    int best_class = 0;
    for (const auto& [id, item] : targets_) {
        if (request.reserved != nullptr && request.reserved->is_reserved(id)) {
            continue;
        }
        auto fit = fit_on(item, request, ends, now);
        if (fit &&
            (!best || std::tuple{fit->at, item.order_class()} < std::tuple{best->at, best_class})) {
            best = std::move(fit);
            best_class = item.order_class();
        }
    }
    return best;
}

core::duration_ms capacity_pool::expected_duration(std::string_view target,
                                                   const job_step& step) const {
    const auto found = targets_.find(target);
    return found == targets_.end() ? detail::message_time + step.estimated
                                   : detail::duration_on(found->second, step);
}

std::optional<placement> capacity_pool::pick(const placement_request& request, core::time_ms now) {
    const auto accept = [&](const pooled_target& item) {
        return item.target.id != request.avoid && is_eligible(item, request, now);
    };
    const auto* chosen = pick_in_rack(request, accept);
    if (chosen == nullptr) {
        chosen = order_.find(request.service, request.step->resources.cpu_millis, accept);
        chosen = chosen == nullptr ? nullptr : prefer_known_holder(request, *chosen, accept);
    }
    if (chosen == nullptr) {
        const auto avoided = targets_.find(request.avoid);
        const bool is_last_choice =
            avoided != targets_.end() && is_eligible(avoided->second, request, now);
        chosen = is_last_choice ? &avoided->second : nullptr;
    }
    if (chosen == nullptr) {
        return std::nullopt;
    }
    return placement{.target = chosen->target.id, .holder = chosen->holder};
}

/// The best target on the rack of the task's data; null if there is none or no such rack.
template <std::predicate<const pooled_target&> Accept>
const pooled_target* capacity_pool::pick_in_rack(const placement_request& request,
                                                 Accept accept) const {
    if (request.step->data_rack.empty()) {
        return nullptr;
    }
    const auto cpu_millis = request.step->resources.cpu_millis;
    const auto rank = [&](const pooled_target& item) {
        return std::tuple{item.order_class(), detail::slots_left(item, cpu_millis),
                          detail::holder_rank(item.holder, request), item.free().cpu_millis,
                          std::string_view{item.target.id}};
    };
    const pooled_target* best = nullptr;
    for (const auto* const item : by_label_.find(request.step->data_rack)) {
        if (accept(*item) && (best == nullptr || rank(*item) < rank(*best))) {
            best = item;
        }
    }
    return best;
}

/// A target that is as good as `first` but held by the front end or by a holder with runs of the
/// job, or else `first`.
template <std::predicate<const pooled_target&> Accept>
const pooled_target* capacity_pool::prefer_known_holder(const placement_request& request,
                                                        const pooled_target& first,
                                                        Accept accept) const {
    const auto cpu_millis = request.step->resources.cpu_millis;
    const auto is_equivalent = [&](const pooled_target& item) {
        return item.order_class() == first.order_class() && item.free().cpu_millis >= cpu_millis &&
               detail::slots_left(item, cpu_millis) == detail::slots_left(first, cpu_millis);
    };
    const auto rank = [](const pooled_target& item) {
        return std::tuple{item.free().cpu_millis, std::string_view{item.target.id}};
    };
    const pooled_target* best = nullptr;
    const auto consider_targets_of = [&](std::string_view holder) {
        for (const auto* const item : by_holder_.find(holder)) {
            if (is_equivalent(*item) && accept(*item) &&
                (best == nullptr || rank(*item) < rank(*best))) {
                best = item;
            }
        }
    };
    consider_targets_of(request.front_end);
    if (best == nullptr) {
        std::ranges::for_each(request.job_holders, consider_targets_of);
    }
    return best == nullptr ? &first : best;
}

void capacity_pool::reserve(std::string_view target, const core::resources& resources) {
    if (const auto found = targets_.find(target); found != targets_.end()) {
        update(found->second, [&](pooled_target& item) {
            item.reserved += resources;
            ++item.running;
        });
    }
}

void capacity_pool::release(std::string_view target, const core::resources& resources) {
    if (const auto found = targets_.find(target);
        found != targets_.end() && found->second.running > 0) {
        update(found->second, [&](pooled_target& item) {
            item.reserved -= resources;
            --item.running;
        });
    }
}

bool capacity_pool::may_eject() const {
    const auto ejected = std::ranges::count_if(targets_, [](const auto& item) {
        return item.second.health.current() == scheduling::target_health::phase::ejected;
    });
    constexpr std::size_t percent = 100;
    return (static_cast<std::size_t>(ejected) + 1) * percent <=
           targets_.size() * scheduling::ejection_rules{}.max_ejected_percent;
}

void capacity_pool::record_run_end(std::string_view target, run_end end, core::duration_ms ran_for,
                                   core::duration_ms estimated, core::time_ms now) {
    const auto found = targets_.find(target);
    if (found == targets_.end()) {
        return;
    }
    auto& item = found->second;
    if (end == run_end::done) {
        item.health.on_success();
        // A cold target soon runs at its usual speed again.
        if (estimated.count() > 0 && !item.target.cold) {
            const auto ratio = std::min(static_cast<double>(ran_for.count()) /
                                            static_cast<double>(estimated.count()),
                                        detail::max_slowness_sample);
            item.slowness += detail::slowness_weight * (ratio - item.slowness);
            if (const auto rounded = detail::slowness_class(item.slowness);
                rounded != item.slowness_class) {
                update(item, [&](pooled_target& changed) { changed.slowness_class = rounded; });
            }
        }
    } else if (end == run_end::rejected) {
        // The target is not at fault. It is used again once its holder reports it as usable.
        set_unusable(item);
    } else if (end != run_end::stopped) {
        item.ejected_until = item.health.on_failure({}, may_eject(), now);
    }
}

void capacity_pool::readmit(core::time_ms now) {
    for (auto& [id, item] : targets_) {
        if (item.health.current() == scheduling::target_health::phase::ejected &&
            now >= item.ejected_until) {
            item.health.start_probe();
        }
    }
}

std::string capacity_pool::describe(const core::resources& resources) const {
    std::size_t usable = 0;
    std::size_t ejected = 0;
    std::size_t with_free_resources = 0;
    std::size_t at_limit = 0;
    for (const auto& [id, item] : targets_) {
        usable += item.is_usable() ? 1 : 0;
        ejected += item.health.max_in_flight() == 0 ? 1 : 0;
        at_limit += item.running >= item.health.max_in_flight() ? 1 : 0;
        with_free_resources += item.is_usable() && item.free().holds(resources) ? 1 : 0;
    }
    return std::to_string(targets_.size()) + " targets known, " + std::to_string(usable) +
           " usable, " + std::to_string(with_free_resources) + " with room, " +
           std::to_string(at_limit) + " at their limit after failures, " + std::to_string(ejected) +
           " ejected";
}

speed_usage capacity_pool::usage() const {
    speed_usage usage;
    for (const auto& [id, item] : targets_) {
        auto& used = usage[item.slowness_class];
        used.targets += item.is_usable() ? 1 : 0;
        used.runs += item.running;
    }
    return usage;
}

bool capacity_pool::has_all_reports(core::time_ms now) const {
    return first_report_ && now - *first_report_ > detail::report_grace;
}

bool capacity_pool::fits_empty_target(std::string_view service, const job_step& step) const {
    return std::ranges::any_of(targets_, [&](const auto& entry) {
        const auto& target = entry.second.target;
        return target.service == service && target.capacity.holds(step.resources) &&
               detail::has_label(target, step.required_label);
    });
}

std::size_t capacity_pool::usable_targets(std::string_view service) const {
    const auto found = usable_targets_.find(service);
    return found == usable_targets_.end() ? 0 : static_cast<std::size_t>(found->second);
}

std::int64_t capacity_pool::usable_cpu_millis(std::string_view service) const {
    const auto found = usable_cpu_.find(service);
    return found == usable_cpu_.end() ? 0 : found->second;
}

} // namespace hawthornstall::runs
