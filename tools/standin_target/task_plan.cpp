#include "task_plan.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>

namespace hawthornstall::tools {

core::duration_ms nominal_run_time(std::string_view payload, core::duration_ms fallback,
                                   double speed) {
    constexpr std::string_view prefix = "run_ms=";
    /// Upper limit of the requested run time, so that a test ends.
    constexpr core::duration_ms::rep max_run_time_ms = 600'000;
    auto count = fallback.count();
    if (payload.starts_with(prefix)) {
        payload.remove_prefix(prefix.size());
        // When the number cannot be parsed, `count` keeps the fallback.
        std::from_chars(payload.data(), payload.data() + payload.size(), count);
    }
    count = std::clamp<core::duration_ms::rep>(count, 0, max_run_time_ms);
    return core::duration_ms{std::llround(static_cast<double>(count) / speed)};
}

} // namespace hawthornstall::tools
