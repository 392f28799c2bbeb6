#pragma once

/// A job whose tasks run on leased targets.

#include "hawthornstall/core/ms_clock.hpp"
#include "hawthornstall/core/room.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace hawthornstall::runs {

/// Tasks of one kind within a job.
struct job_step {
    std::uint32_t count = 1;
    core::room room{};                  ///< What each task needs.
    core::duration_ms estimated{};      ///< Declared run time; 0 when not declared.
    std::vector<std::uint32_t> after{}; ///< Earlier steps that must be done first.
    std::string required_label{};       ///< Empty: any target.
    std::string data_rack{};            ///< Label of the rack with the data; empty: none.
    std::uint32_t max_per_target = 0;   ///< 0: no limit.

    bool operator==(const job_step&) const = default;
};

/// What the queue of a job promises its callers.
struct job_terms {
    std::string service{};
    std::uint32_t priority = 0;         ///< 0 is the most urgent.
    std::uint32_t max_attempts = 1;     ///< Failed runs of one task after which the job fails.
    double stretch = 1.0;               ///< Factor of the objective on the run time.
    core::duration_ms latency_target{}; ///< Added to the objective.
    core::duration_ms deadline{};       ///< How long the caller waits.

    bool operator==(const job_terms&) const = default;
};

/// A whole job. It is not stored: the caller waits for its end and submits it again when lost.
struct job_request {
    std::string id{}; ///< Chosen by the caller.
    std::string specification{};
    std::vector<job_step> steps{};
    job_terms terms{};

    bool operator==(const job_request&) const = default;
};

/// How a job ended.
enum class job_result : std::uint8_t {
    completed,
    failed,  ///< A task used up its attempts.
    refused, ///< Nothing has run and nothing will.
    lost,    ///< Nothing runs any more, but some tasks may have run.
};

/// Name for logs.
[[nodiscard]] constexpr std::string_view to_string(job_result result) noexcept {
    switch (result) {
    case job_result::completed:
        return "completed";
    case job_result::failed:
        return "failed";
    case job_result::refused:
        return "refused";
    case job_result::lost:
        break;
    }
    return "lost";
}

} // namespace hawthornstall::runs
