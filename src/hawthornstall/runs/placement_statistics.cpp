#include "hawthornstall/runs/placement_statistics.hpp"

#include <algorithm>

namespace hawthornstall::runs {
namespace detail {

/// Interval between two records.
constexpr core::duration_ms record_interval{2'000};

std::string mean_ms(core::duration_ms sum, std::uint64_t count) {
    const auto divisor = std::max<std::uint64_t>(count, 1);
    return std::to_string(sum.count() / static_cast<std::int64_t>(divisor)) + " ms";
}

std::string percent(core::duration_ms part, core::duration_ms whole) {
    const auto divisor = std::max<std::int64_t>(whole.count(), 1);
    return std::to_string(100 * part.count() / divisor) + " %";
}

} // namespace detail

void placement_statistics::granted(core::duration_ms waited) {
    ++grants_;
    waited_ += waited;
}

void placement_statistics::ended(core::duration_ms reserved_for, core::duration_ms ran_for,
                                 core::duration_ms estimated) {
    ++ends_;
    in_messages_ += reserved_for - ran_for;
    ran_ += ran_for;
    estimated_ += estimated;
}

bool placement_statistics::is_due(core::time_ms now) const noexcept {
    return now >= next_record_at_ && grants_ + ends_ > 0;
}

std::string placement_statistics::take(const speed_usage& usage, std::uint64_t targets_examined,
                                       core::time_ms now) {
    const auto examined = targets_examined - examined_before_;
    auto text = std::to_string(grants_) + " grants after " + detail::mean_ms(waited_, grants_) +
                ", " + std::to_string(examined / std::max<std::uint64_t>(grants_, 1)) +
                " targets examined for each; " + std::to_string(ends_) + " ends, " +
                detail::mean_ms(in_messages_, ends_) + " in messages, " +
                detail::percent(ran_, estimated_) +
                " of the declared run time; targets and runs by class of slowness:";
    for (const auto& [slowness, used] : usage) {
        text += ' ' + std::to_string(slowness) + ": " + std::to_string(used.targets) + '/' +
                std::to_string(used.runs);
    }
    *this = {};
    examined_before_ = targets_examined;
    next_record_at_ = now + detail::record_interval;
    return text;
}

} // namespace hawthornstall::runs
