#include "hawthornstall/scheduling/target_health.hpp"

#include <algorithm>

namespace hawthornstall::scheduling {

void target_health::on_success() noexcept {
    if (phase_ == phase::ejected) {
        return;
    }
    failures_ = 0;
    phase_ = phase::in_service;
    if (limit_ != unlimited) {
        limit_ *= 2;
        if (limit_ >= recovered) {
            limit_ = unlimited;
            ejections_ = 0;
        }
    }
}

core::time_ms target_health::on_failure(const ejection_rules& rules, bool may_eject,
                                        core::time_ms now) noexcept {
    if (phase_ == phase::ejected) {
        return now;
    }
    ++failures_;
    limit_ = 1;
    const bool failed_probe = phase_ == phase::probing;
    if (!may_eject || (!failed_probe && failures_ < rules.failures)) {
        return now;
    }
    // 2^5 first ejections exceed the longest one by default; the bound keeps the shift defined.
    constexpr std::uint32_t max_doublings = 16;
    const auto length = rules.first_ejection * (1U << std::min(ejections_, max_doublings));
    ++ejections_;
    failures_ = 0;
    phase_ = phase::ejected;
    return now + std::min<core::duration_ms>(length, rules.longest_ejection);
}

void target_health::start_probe() noexcept {
    phase_ = phase::probing;
    limit_ = 1;
}

} // namespace hawthornstall::scheduling
