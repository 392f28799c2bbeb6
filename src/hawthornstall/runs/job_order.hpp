#pragma once

/// The order in which jobs get room.

#include "hawthornstall/runs/job_record.hpp"

#include <cstdint>
#include <set>
#include <tuple>

namespace hawthornstall::runs {

/// Time that a job takes once it starts. Declared run times are off by half, so a job that starts
/// with no more than its declared time left is most likely late, and takes the room of one that
/// would be in time.
[[nodiscard]] inline core::duration_ms expected_time(const job_record& job) {
    constexpr double margin = 1.3;
    constexpr core::duration_ms way_there_and_back{15};
    const auto stretched = margin * static_cast<double>(job.chain.count());
    return way_there_and_back + core::duration_ms{static_cast<core::duration_ms::rep>(stretched)};
}

/// Jobs with pending tasks. Those that have begun come first, since their callers wait for the
/// whole; then those that can still meet their objective, and last those that are late, each by
/// objective. The jobs must outlive their places.
class job_order {
public:
    enum class urgency : std::uint8_t { begun, in_time, late };

    /// A job and its place.
    struct place {
        urgency level = urgency::in_time;
        core::time_ms due{};
        std::uint64_t number = 0;
        job_record* job = nullptr;

        bool operator<(const place& other) const noexcept {
            return std::tie(level, due, number) < std::tie(other.level, other.due, other.number);
        }
    };

    /// Puts `job` in its place at `now`, or takes it out when nothing of it is to be placed.
    void update(job_record& job, core::time_ms now) {
        erase(job);
        if (!job.ending && job.pending_tasks > 0) {
            const bool is_late = now + expected_time(job) > job.due;
            const auto level = job.started ? urgency::begun
                               : is_late   ? urgency::late
                                           : urgency::in_time;
            job.level = static_cast<std::uint8_t>(level);
            job.is_ordered = true;
            places_.insert({level, job.due, job.number, &job});
        }
    }

    void erase(job_record& job) {
        if (job.is_ordered) {
            places_.erase({static_cast<urgency>(job.level), job.due, job.number, &job});
            job.is_ordered = false;
        }
    }

    /// Pending work of the jobs before `job`: thousandths of a core times ms.
    [[nodiscard]] std::int64_t work_before(const job_record& job) const {
        std::int64_t work = 0;
        for (const auto& item : places_) {
            if (item.level == urgency::late ||
                (item.level == urgency::in_time && item.due > job.due)) {
                break;
            }
            work += item.job == &job ? 0 : item.job->pending_work;
        }
        return work;
    }

    [[nodiscard]] const std::set<place>& places() const noexcept { return places_; }

private:
    std::set<place> places_;
};

} // namespace hawthornstall::runs
