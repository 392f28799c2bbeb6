#include "hawthornstall/runs/capacity_pool.hpp"

#include <algorithm>
#include <cmath>
#include <set>
#include <tuple>
#include <utility>

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
        auto& [id, known] = *targets_.try_emplace(target.id).first;
        update(id, known, [&](pooled_target& item) {
            if (item.target.incarnation != target.incarnation) {
                item.health = {};
                item.ejected_until = {};
            }
            item.target = target;
            item.holder = holder;
        });
    }
    for (auto& [id, item] : targets_) {
        if (item.holder == holder && !named.contains(id)) {
            item.target.usable = false;
        }
    }
    sum_usable_cpu();
}

template <std::invocable<capacity_pool::pooled_target&> Change>
void capacity_pool::update(std::string_view id, pooled_target& item, Change change) {
    by_free_cpu_.erase({item.free().cpu_millis, id});
    change(item);
    by_free_cpu_.emplace(item.free().cpu_millis, id);
}

template <std::predicate<const capacity_pool::pooled_target&> Visit>
void capacity_pool::visit_free(std::int64_t cpu_millis, Visit visit) const {
    for (auto position = by_free_cpu_.lower_bound({cpu_millis, {}}); position != by_free_cpu_.end();
         ++position) {
        if (!visit(targets_.find(position->second)->second)) {
            return;
        }
    }
}

void capacity_pool::sum_usable_cpu() {
    usable_cpu_.clear();
    for (const auto& [id, item] : targets_) {
        if (item.target.usable) {
            usable_cpu_[item.target.service] += item.target.capacity.cpu_millis;
        }
    }
}

void capacity_pool::invalidate() {
    for (auto& [id, item] : targets_) {
        item.target.usable = false;
    }
    first_report_.reset();
    sum_usable_cpu();
}

void capacity_pool::remove_holder(std::string_view holder) {
    for (auto position = targets_.begin(); position != targets_.end();) {
        const auto& [id, item] = *position;
        if (item.holder == holder) {
            by_free_cpu_.erase({item.free().cpu_millis, id});
            position = targets_.erase(position);
        } else {
            ++position;
        }
    }
    sum_usable_cpu();
}

bool capacity_pool::can_accept(const pooled_target& item, const core::resources& resources) {
    return item.free().holds(resources) && item.target.usable &&
           item.running < item.health.max_in_flight();
}

bool capacity_pool::has_free_target(std::string_view service, const core::resources& resources,
                                    core::time_ms now) const {
    bool found = false;
    visit_free(resources.cpu_millis, [&](const pooled_target& item) {
        found = can_accept(item, resources) && now >= item.ejected_until &&
                item.target.service == service;
        return !found;
    });
    return found;
}

bool capacity_pool::is_eligible(const pooled_target& item, const placement_request& request) {
    // Most targets are full under load, so the free resources are checked first.
    const auto& target = item.target;
    return can_accept(item, request.step->resources) && target.service == request.service &&
           detail::has_label(target, request.step->required_label) &&
           std::ranges::find(request.excluded, target.id) == request.excluded.end();
}

std::optional<placement> capacity_pool::pick(const placement_request& request, core::time_ms now) {
    using rank = std::tuple<bool, bool, int, std::int64_t, int, std::int64_t>;
    const auto cpu_millis = request.step->resources.cpu_millis;
    const pooled_target* best = nullptr;
    rank best_rank;
    visit_free(cpu_millis, [&](const pooled_target& item) {
        ++targets_examined_;
        if (now < item.ejected_until || !is_eligible(item, request)) {
            return true;
        }
        const auto free_after = item.free().cpu_millis - cpu_millis;
        const rank candidate{item.target.id == request.avoid,
                             !detail::has_label(item.target, request.step->data_rack),
                             item.slowness_class,
                             free_after / std::max<std::int64_t>(cpu_millis, 1),
                             detail::holder_rank(item.holder, request),
                             free_after};
        if (best == nullptr || candidate < best_rank) {
            best = &item;
            best_rank = candidate;
        }
        return true;
    });
    if (best == nullptr) {
        return std::nullopt;
    }
    return placement{.target = best->target.id, .holder = best->holder};
}

void capacity_pool::reserve(std::string_view target, const core::resources& resources) {
    if (const auto found = targets_.find(target); found != targets_.end()) {
        update(found->first, found->second, [&](pooled_target& item) {
            item.reserved += resources;
            ++item.running;
        });
    }
}

void capacity_pool::release(std::string_view target, const core::resources& resources) {
    if (const auto found = targets_.find(target);
        found != targets_.end() && found->second.running > 0) {
        update(found->first, found->second, [&](pooled_target& item) {
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
        if (estimated.count() > 0) {
            const auto ratio = std::min(static_cast<double>(ran_for.count()) /
                                            static_cast<double>(estimated.count()),
                                        detail::max_slowness_sample);
            item.slowness += detail::slowness_weight * (ratio - item.slowness);
            item.slowness_class = detail::slowness_class(item.slowness);
        }
    } else if (end == run_end::rejected) {
        // The target is not at fault. It is used again once its holder reports it as usable.
        item.target.usable = false;
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
        usable += item.target.usable ? 1 : 0;
        ejected += item.health.max_in_flight() == 0 ? 1 : 0;
        at_limit += item.running >= item.health.max_in_flight() ? 1 : 0;
        with_free_resources += item.target.usable && item.free().holds(resources) ? 1 : 0;
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
        used.targets += item.target.usable ? 1 : 0;
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

std::int64_t capacity_pool::usable_cpu_millis(std::string_view service) const {
    const auto found = usable_cpu_.find(service);
    return found == usable_cpu_.end() ? 0 : found->second;
}

} // namespace hawthornstall::runs
