#pragma once

/// State of one target in the pool of a scheduler.

#include "hawthornstall/runs/run_messages.hpp"
#include "hawthornstall/scheduling/target_health.hpp"

#include <cstdint>
#include <string>

namespace hawthornstall::runs {

/// A target with the reservations and the health that a scheduler tracks for it.
struct pooled_target {
    held_target target{};
    std::string holder{};
    core::resources reserved{}; ///< By runs of this scheduler.
    scheduling::target_health health;
    core::time_ms ejected_until{};
    bool drained = false;      ///< The availability zone of the target is drained.
    int slowness_class = 0;    ///< Rounded logarithm of `slowness`.
    double slowness = 1.0;     ///< Moving average of actual over declared run time.
    std::uint32_t running = 0; ///< Number of reserved runs.

    [[nodiscard]] core::resources free() const {
        return target.capacity - target.used_by_others - reserved;
    }

    /// Whether the target takes new runs as far as its holder and the drains say.
    [[nodiscard]] bool is_usable() const { return target.usable && !drained; }

    /// Class of slowness by which targets are ordered: a cold target comes with warm ones that are
    /// one and a half times as slow, two classes later.
    [[nodiscard]] int order_class() const {
        constexpr int cold_classes = 2;
        return slowness_class + (target.cold ? cold_classes : 0);
    }

    /// Whether a run with these resources can start now, but for the time of an ejection.
    [[nodiscard]] bool can_accept(const core::resources& resources) const {
        return free().holds(resources) && is_usable() && running < health.max_in_flight();
    }
};

} // namespace hawthornstall::runs
