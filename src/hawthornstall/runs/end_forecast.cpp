#include "hawthornstall/runs/end_forecast.hpp"

#include <algorithm>
#include <utility>

namespace hawthornstall::runs {

core::time_ms end_forecast::run::expected_end(core::time_ms now) const {
    auto expected = std::max(duration, core::duration_ms{1});
    while (started + expected <= now) {
        expected *= 2;
    }
    return started + expected;
}

void end_forecast::started(const std::string& target, std::uint64_t key,
                           const core::resources& resources, core::time_ms now,
                           core::duration_ms duration) {
    runs_[target].push_back(
        {.key = key, .resources = resources, .started = now, .duration = duration});
}

void end_forecast::ended(std::string_view target, std::uint64_t key) {
    const auto found = runs_.find(target);
    if (found == runs_.end()) {
        return;
    }
    std::erase_if(found->second, [&](const run& item) { return item.key == key; });
    if (found->second.empty()) {
        runs_.erase(found);
    }
}

core::resources end_forecast::freed_by(std::string_view target, core::time_ms time,
                                       core::time_ms now) const {
    core::resources freed{};
    const auto found = runs_.find(target);
    if (found != runs_.end()) {
        for (const auto& item : found->second) {
            if (item.expected_end(now) <= time) {
                freed += item.resources;
            }
        }
    }
    return freed;
}

std::optional<core::time_ms> end_forecast::fits_at(std::string_view target,
                                                   const core::resources& free,
                                                   const core::resources& wanted,
                                                   core::time_ms now) const {
    if (free.holds(wanted)) {
        return now;
    }
    const auto found = runs_.find(target);
    if (found == runs_.end()) {
        return std::nullopt;
    }
    std::vector<std::pair<core::time_ms, const run*>> ends;
    for (const auto& item : found->second) {
        ends.emplace_back(item.expected_end(now), &item);
    }
    std::ranges::sort(ends, {}, &std::pair<core::time_ms, const run*>::first);
    auto available = free;
    for (const auto& [end, item] : ends) {
        available += item->resources;
        if (available.holds(wanted)) {
            return end;
        }
    }
    return std::nullopt;
}

} // namespace hawthornstall::runs
