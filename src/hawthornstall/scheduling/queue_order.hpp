#pragma once

/// Queue orders: which queued job gets the next start.

#include "hawthornstall/core/ms_clock.hpp"

#include <concepts>
#include <cstdint>

namespace hawthornstall::scheduling {

/// What an order may look at.
struct job_ranking {
    core::time_ms arrival{};
    std::uint32_t remaining = 0; ///< Tasks without an answer.
    bool urgent = false;         ///< Has started and used up half of its time.
};

/// An order gives each job a key within its team, and each team a key from the smallest key of its
/// jobs and the service it has had. The smallest key goes first. Keys do not depend on the current
/// time, so nothing is sorted again as time passes.
template <class Order>
concept queue_order = requires(const Order order, const job_ranking& ranking, std::int64_t number) {
    { order.job_key(ranking) } -> std::same_as<std::int64_t>;
    { order.team_key(number, number) } -> std::same_as<std::int64_t>;
    // True when teams take turns, so that a team waits only for its own share.
    { Order::shares_by_team } -> std::convertible_to<bool>;
};

/// Jobs in order of arrival.
struct first_in_first_out {
    static constexpr bool shares_by_team = false;

    [[nodiscard]] std::int64_t job_key(const job_ranking& ranking) const {
        return core::to_count(ranking.arrival);
    }
    [[nodiscard]] std::int64_t team_key(std::int64_t first_job, std::int64_t /*served*/) const {
        return first_job;
    }
};

/// The team that has had the least service first; order of arrival within the team.
struct fair_share {
    static constexpr bool shares_by_team = true;

    [[nodiscard]] std::int64_t job_key(const job_ranking& ranking) const {
        return core::to_count(ranking.arrival);
    }
    [[nodiscard]] std::int64_t team_key(std::int64_t /*first_job*/, std::int64_t served) const {
        return served;
    }
};

/// Fewest remaining tasks first. Each remaining task counts like `per_task` of later arrival, so a
/// job of 690 tasks waits behind later single tasks for at most 6.9 s: it ages past them.
struct fewest_remaining {
    static constexpr bool shares_by_team = false;
    static constexpr core::duration_ms per_task{10};

    [[nodiscard]] std::int64_t job_key(const job_ranking& ranking) const {
        const auto size = ranking.urgent ? 0 : per_task.count() * ranking.remaining;
        return core::to_count(ranking.arrival) + size;
    }
    [[nodiscard]] std::int64_t team_key(std::int64_t first_job, std::int64_t /*served*/) const {
        return first_job;
    }
};

static_assert(queue_order<first_in_first_out>);
static_assert(queue_order<fair_share>);
static_assert(queue_order<fewest_remaining>);

} // namespace hawthornstall::scheduling
