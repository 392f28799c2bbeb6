#include "hawthornstall/runs/target_lease.hpp"

#include <algorithm>

namespace hawthornstall::runs {
namespace detail {

/// A call without an answer may still be executed for this long, and a lease that it grants may
/// count from then on. Targets execute some calls up to 12 s late.
constexpr core::duration_ms longest_call_delay{15'000};

/// A call that is answered is executed within this time.
constexpr core::duration_ms answered_call_delay{150};

} // namespace detail

target_lease::target_lease(const run_bounds& bounds, core::time_ms now)
    : longest_lease_(bounds.longest_lease),
      expired_at_(now + lease_upper_bound(longest_lease_) + detail::answered_call_delay) {}

void target_lease::read_clock(std::int64_t clock_ms, core::time_ms now) {
    if (!clock_) {
        end_ = clock_ms + longest_lease_.count();
    }
    clock_ = clock_ms;
    clock_read_at_ = now;
}

std::int64_t target_lease::clock_by(core::time_ms time) const {
    return target_clock_by(time, clock_.value(), clock_read_at_);
}

std::int64_t target_lease::longest_end(core::time_ms now) const {
    return clock_.value() + (now - clock_read_at_ + longest_lease_).count();
}

void target_lease::extend(std::int64_t end, core::time_ms now) {
    if (!end_ || end > *end_) {
        expired_at_ = now + lease_upper_bound(longest_lease_) + detail::answered_call_delay;
        end_ = end;
    }
}

void target_lease::add_late_call(core::time_ms sent) {
    late_calls_.insert(std::ranges::upper_bound(late_calls_, sent), sent);
}

void target_lease::drop_expired_late_calls(core::time_ms now) {
    std::erase_if(late_calls_, [&](core::time_ms sent) {
        return now > sent + detail::longest_call_delay + lease_upper_bound(longest_lease_);
    });
}

void target_lease::forget_process() noexcept {
    clock_.reset();
    end_.reset();
}

core::time_ms target_lease::ended_by() const {
    auto end = expired_at_;
    for (const auto sent : late_calls_) {
        const auto executed = std::min(end, sent + detail::longest_call_delay);
        end = std::max(end, executed + lease_upper_bound(longest_lease_));
    }
    return end;
}

core::time_ms target_lease::late_runs_ended_by() const {
    return late_calls_.empty() ? core::time_ms{}
                               : late_calls_.back() + detail::longest_call_delay +
                                     lease_upper_bound(longest_lease_);
}

} // namespace hawthornstall::runs
