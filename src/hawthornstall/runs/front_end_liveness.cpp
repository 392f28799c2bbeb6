#include "hawthornstall/runs/front_end_liveness.hpp"

#include <algorithm>

namespace hawthornstall::runs {
namespace detail {

/// Largest ratio of the rates of two hosts' clocks.
constexpr double max_rate_ratio = 1.0 / 0.98;

} // namespace detail

core::time_ms front_end_liveness::last_served(std::string_view host,
                                              core::time_ms caller_leaves_at) const {
    const auto found = signs_.find(host);
    if (found == signs_.end()) {
        return {};
    }
    const auto& sign = found->second;
    const auto since_left = std::max(sign.peer_time - caller_leaves_at, core::duration_ms{});
    const auto longest = static_cast<double>(since_left.count()) * detail::max_rate_ratio;
    return sign.at - core::duration_ms{static_cast<core::duration_ms::rep>(longest)};
}

} // namespace hawthornstall::runs
