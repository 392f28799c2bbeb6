#include "hawthornstall/scheduling/target_health.hpp"

#include <algorithm>

namespace hawthornstall::scheduling {

void target_health::on_success() noexcept {
    if (phase_ == phase::ejected) {
        return;
    }
    consecutive_failures_ = 0;
    phase_ = phase::in_service;
    if (max_in_flight_ != unlimited) {
        max_in_flight_ *= 2;
        if (max_in_flight_ >= full_service_limit) {
            max_in_flight_ = unlimited;
            ejections_ = 0;
        }
    }
}

core::time_ms target_health::on_failure(const ejection_rules& rules, bool may_eject,
                                        core::time_ms now) noexcept {
    if (phase_ == phase::ejected) {
        return now;
    }
    ++consecutive_failures_;
    max_in_flight_ = 1;
    const bool failed_probe = phase_ == phase::probing;
    if (!may_eject || (!failed_probe && consecutive_failures_ < rules.consecutive_failures)) {
        return now;
    }
    // With the default rules 2^5 times the first ejection exceeds the longest one; this bound keeps
    // the shift defined for other rules.
    constexpr std::uint32_t max_doublings = 16;
    const auto length = rules.first_ejection * (1U << std::min(ejections_, max_doublings));
    ++ejections_;
    consecutive_failures_ = 0;
    phase_ = phase::ejected;
    return now + std::min<core::duration_ms>(length, rules.longest_ejection);
}

void target_health::start_probe() noexcept {
    phase_ = phase::probing;
    max_in_flight_ = 1;
}

} // namespace hawthornstall::scheduling
