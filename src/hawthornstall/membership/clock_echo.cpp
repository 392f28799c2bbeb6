#include "hawthornstall/membership/clock_echo.hpp"

#include <algorithm>

namespace hawthornstall::membership {

clock_sample clock_echo::sample(core::time_ms now) const {
    constexpr core::duration_ms no_echo{-1};
    return {.sent_at = now,
            .echo_incarnation = peer_incarnation_,
            .echo_sent_at = peer_sent_at_,
            .echo_age = has_sample_ ? now - received_at_ : no_echo};
}

std::optional<core::time_ms>
clock_echo::receive(const clock_sample& sample, std::uint64_t peer_incarnation, core::time_ms now) {
    // A message that arrives after a later one must not replace the later sample.
    const bool is_latest = !has_sample_ || peer_incarnation > peer_incarnation_ ||
                           (peer_incarnation == peer_incarnation_ && //
                            sample.sent_at >= peer_sent_at_);
    if (is_latest) {
        peer_incarnation_ = peer_incarnation;
        peer_sent_at_ = sample.sent_at;
        received_at_ = now;
        has_sample_ = true;
    }
    if (sample.echo_incarnation != incarnation_ || sample.echo_age < core::duration_ms{0} ||
        sample.echo_age > max_echo_age || sample.echo_sent_at > now) {
        return std::nullopt;
    }
    return std::min(now, sample.echo_sent_at + sample.echo_age);
}

} // namespace hawthornstall::membership
