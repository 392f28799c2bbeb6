#pragma once

/// Queue orders. They decide which queued job starts its next task.

#include "hawthornstall/core/ms_clock.hpp"

#include <concepts>
#include <cstdint>

namespace hawthornstall::scheduling {

/// The properties of a job that determine its key.
struct job_ranking {
    core::time_ms arrival{};
    std::uint32_t remaining = 0; ///< Tasks without an answer.
    bool urgent = false; ///< It has started and half of its time to the deadline has passed.
};

/// Computes a key for each job within its team, and a key for each team from the smallest key of
/// its jobs and the run time that it has received. The smallest key goes first. Keys do not depend
/// on the current time, so the queue is never sorted again as time passes.
template <class Order>
concept queue_order = requires(const Order order, const job_ranking& ranking, std::int64_t number) {
    { order.job_key(ranking) } -> std::same_as<std::int64_t>;
    { order.team_key(number, number) } -> std::same_as<std::int64_t>;
    // True if run time is shared between teams, so that a job waits only for earlier jobs of its
    // own team and for the other teams' shares.
    { Order::shares_by_team } -> std::convertible_to<bool>;
};

/// Starts jobs in order of arrival, whatever their team.
struct first_in_first_out {
    static constexpr bool shares_by_team = false;

    [[nodiscard]] std::int64_t job_key(const job_ranking& ranking) const {
        return core::to_count(ranking.arrival);
    }
    [[nodiscard]] std::int64_t team_key(std::int64_t first_job, std::int64_t /*served*/) const {
        return first_job;
    }
};

/// Starts a job of the team that has received the least run time; in order of arrival within a
/// team.
struct fair_share {
    static constexpr bool shares_by_team = true;

    [[nodiscard]] std::int64_t job_key(const job_ranking& ranking) const {
        return core::to_count(ranking.arrival);
    }
    [[nodiscard]] std::int64_t team_key(std::int64_t /*first_job*/, std::int64_t served) const {
        return served;
    }
};

/// Starts the job with the fewest remaining tasks, with ageing: each remaining task counts as if
/// the job had arrived `delay_per_task` later. A job of 690 tasks thus goes behind single tasks
/// that arrive up to 6.9 s later, and before those that arrive after that.
struct fewest_remaining {
    static constexpr bool shares_by_team = false;
    static constexpr core::duration_ms delay_per_task{10};

    [[nodiscard]] std::int64_t job_key(const job_ranking& ranking) const {
        const auto size = ranking.urgent ? 0 : delay_per_task.count() * ranking.remaining;
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
