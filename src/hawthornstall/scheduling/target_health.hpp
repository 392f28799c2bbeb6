#pragma once

/// Outlier detection: targets that fail tasks are ejected, probed and readmitted.

#include "hawthornstall/core/ms_clock.hpp"

#include <cstdint>
#include <limits>

namespace hawthornstall::scheduling {

/// When and for how long targets are ejected.
struct ejection_rules {
    std::uint32_t consecutive_failures =
        3; ///< Consecutive failures after which a target is ejected.
    std::uint32_t max_ejected_percent = 30; ///< Largest share of the known targets ejected at once.
    /// Length of the first ejection; each further one until full recovery doubles it.
    core::duration_ms first_ejection{1000};
    core::duration_ms longest_ejection{30'000}; ///< Upper limit of the length.
};

/// Failure state of one target. After a failure the target may hold one task at a time, and each
/// answer doubles this limit until the target has fully recovered. Without the limit, a target
/// that fails every task immediately would be sent one task per slot and round trip.
class target_health {
public:
    /// An ejected target gets no tasks; a probing one gets a single task that decides its
    /// readmission.
    enum class phase : std::uint8_t { in_service, ejected, probing };

    [[nodiscard]] phase current() const noexcept { return phase_; }

    /// Most tasks that the target may hold now, whatever its capacity.
    [[nodiscard]] std::uint32_t max_in_flight() const noexcept {
        return phase_ == phase::ejected ? 0 : max_in_flight_;
    }

    /// Records an answered task.
    void on_success() noexcept;

    /// Records a failed task. Returns the time until which the target is ejected because of it, or
    /// `now` if it is not ejected by it. `may_eject` is false if the largest share of targets is
    /// ejected already.
    [[nodiscard]] core::time_ms on_failure(const ejection_rules& rules, bool may_eject,
                                           core::time_ms now) noexcept;

    /// Ends the ejection and allows a single task as a probe.
    void start_probe() noexcept;

private:
    static constexpr std::uint32_t unlimited = std::numeric_limits<std::uint32_t>::max();
    /// Limit at which a recovering target is in full service again and has no limit.
    static constexpr std::uint32_t full_service_limit = 64;

    phase phase_ = phase::in_service;
    std::uint32_t consecutive_failures_ = 0;
    std::uint32_t ejections_ = 0; ///< Number of ejections since the last full recovery.
    std::uint32_t max_in_flight_ = unlimited;
};

} // namespace hawthornstall::scheduling
