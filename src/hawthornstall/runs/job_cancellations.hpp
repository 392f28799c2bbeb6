#pragma once

/// Requests of callers to cancel a job by its id, while the scheduler has not answered them.

#include "hawthornstall/core/ms_clock.hpp"
#include "hawthornstall/runs/run_messages.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace hawthornstall::runs {

/// What the caller that asked for a cancellation is told.
enum class cancellation_outcome : std::uint8_t {
    cancelled,
    unknown_job, ///< Neither the scheduler nor this host has the job.
    undecided,   ///< The scheduler did not answer; the job may be running.
};

/// Name of the outcome in log records.
[[nodiscard]] std::string_view to_string(cancellation_outcome outcome) noexcept;

/// The answer to a request to cancel a job.
struct cancellation_answer {
    std::uint64_t request = 0; ///< Number of the request at the HTTP server.
    std::string job{};
    std::string scheduler{}; ///< Host that was asked; empty when there was none.
    cancellation_outcome outcome = cancellation_outcome::undecided;
};

/// Messages to send and callers to answer, collected since the last take_effects().
struct cancellation_effects {
    std::vector<addressed_message> messages{};
    std::vector<cancellation_answer> answers{};
};

/// Asks the scheduler to end jobs and answers the callers that asked for it, each exactly once.
/// Does no I/O.
class job_cancellations {
public:
    /// A caller is told that nothing was decided when the scheduler has not answered in this time.
    /// A lost scheduler is noticed after 700 ms.
    static constexpr core::duration_ms answer_limit{1'000};

    /// Requests to the scheduler count up from `first_number` + 1, which must be higher than the
    /// numbers of earlier processes of this host.
    explicit job_cancellations(std::uint64_t first_number = 0) : last_number_(first_number) {}

    /// Takes a caller's request and asks `scheduler`.
    void open(std::uint64_t request, const std::string& job,
              const std::optional<std::string>& scheduler, core::time_ms now);

    /// The job of this request had a caller at this host, which has been answered.
    void found_here(std::uint64_t request);

    /// Takes the scheduler's answer.
    void answered(std::string_view scheduler, const cancel_result& message);

    /// The scheduler that was asked cannot be reached.
    void host_unreachable(std::string_view host);

    /// Answers the requests whose time limit has passed.
    void tick(core::time_ms now);

    [[nodiscard]] cancellation_effects take_effects() { return std::exchange(effects_, {}); }

private:
    struct open_request {
        std::uint64_t request = 0;
        std::string job{};
        std::string scheduler{};
        core::time_ms expires_at{};
        bool found = false; ///< The job had a caller at this host.
    };

    using open_map = std::map<std::uint64_t, open_request>;

    /// Answers a request whose outcome the scheduler did not tell.
    [[nodiscard]] open_map::iterator give_up(open_map::iterator position);
    open_map::iterator finish(open_map::iterator position, cancellation_outcome outcome);

    open_map open_; ///< By number of the request to the scheduler.
    std::uint64_t last_number_;
    cancellation_effects effects_;
};

} // namespace hawthornstall::runs
