#pragma once

/// Budget for retries and hedges.

#include <algorithm>
#include <cstdint>

namespace hawthornstall::scheduling {

/// Allows retries and hedges up to a share of successes. The reserve lets a service with little
/// traffic, or one that has just started, retry at all.
class retry_budget {
public:
    /// Tokens of a full budget. 50 targets with 8 slots of which 10 % fail at once lose 40 tasks
    /// before the first failure is known.
    static constexpr double reserve = 100.0;

    explicit retry_budget(std::uint32_t percent) : share_(percent / 100.0) {}

    /// Changes the share; the tokens at hand are kept.
    void set_percent(std::uint32_t percent) { share_ = percent / 100.0; }

    void on_success() { tokens_ = std::min(reserve, tokens_ + share_); }

    /// Takes one token; false when none is left or the share is 0.
    [[nodiscard]] bool try_spend() {
        if (share_ <= 0.0 || tokens_ < 1.0) {
            return false;
        }
        tokens_ -= 1.0;
        return true;
    }

private:
    double share_;
    double tokens_ = reserve;
};

} // namespace hawthornstall::scheduling
