#pragma once

/// The retry budget of a service.

#include <algorithm>
#include <cstdint>

namespace hawthornstall::scheduling {

/// Token bucket that limits retries and hedges to a share of the successful attempts. It starts
/// full, so that a service with little traffic, or one that has just started, can retry at all.
class retry_budget {
public:
    /// Tokens in a full bucket. It must cover the failures that occur before the first one is
    /// known: if 10 % of 50 targets with 8 slots each fail at once, 40 tasks fail.
    static constexpr double max_tokens = 100.0;

    /// Each success adds `percent` / 100 tokens.
    explicit retry_budget(std::uint32_t percent) : tokens_per_success_(percent / 100.0) {}

    /// Changes the tokens per success and keeps the tokens in the bucket.
    void set_percent(std::uint32_t percent) { tokens_per_success_ = percent / 100.0; }

    void on_success() { tokens_ = std::min(max_tokens, tokens_ + tokens_per_success_); }

    /// Takes one token. Returns false if less than one is left or the percentage is 0.
    [[nodiscard]] bool try_spend() {
        if (tokens_per_success_ <= 0.0 || tokens_ < 1.0) {
            return false;
        }
        tokens_ -= 1.0;
        return true;
    }

private:
    double tokens_per_success_;
    double tokens_ = max_tokens;
};

} // namespace hawthornstall::scheduling
