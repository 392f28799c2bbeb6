#pragma once

/// Ejection of targets that fail tasks, and their readmission.

#include "hawthornstall/core/ms_clock.hpp"

#include <cstdint>
#include <limits>

namespace hawthornstall::scheduling {

/// Limits of ejection.
struct ejection_rules {
    std::uint32_t failures = 3;             ///< Failures in a row that eject a target.
    std::uint32_t max_ejected_percent = 30; ///< Share of the known targets.
    core::duration_ms first_ejection{1000};
    core::duration_ms longest_ejection{30'000}; ///< Ejections double up to this.
};

/// Failure state of one target. After a failure the target gets one task at a time until it
/// answers one, and then twice as many after each answer: a target that fails everything at once
/// would otherwise take a task per slot and round trip.
class target_health {
public:
    enum class phase : std::uint8_t { in_service, ejected, probing };

    [[nodiscard]] phase current() const noexcept { return phase_; }

    /// Most tasks that the target may hold now.
    [[nodiscard]] std::uint32_t limit() const noexcept {
        return phase_ == phase::ejected ? 0 : limit_;
    }

    /// Takes a success.
    void on_success() noexcept;

    /// Takes a failure. Returns the time until which the target is ejected by it, or `now` when it
    /// stays in service. `may_eject` is false when the share of ejected targets is used up.
    [[nodiscard]] core::time_ms on_failure(const ejection_rules& rules, bool may_eject,
                                           core::time_ms now) noexcept;

    /// Admits a single probe after the ejection time.
    void start_probe() noexcept;

private:
    static constexpr std::uint32_t unlimited = std::numeric_limits<std::uint32_t>::max();
    /// Limit from which on a recovering target is in full service.
    static constexpr std::uint32_t recovered = 64;

    phase phase_ = phase::in_service;
    std::uint32_t failures_ = 0;
    std::uint32_t ejections_ = 0; ///< Since the last full recovery.
    std::uint32_t limit_ = unlimited;
};

} // namespace hawthornstall::scheduling
