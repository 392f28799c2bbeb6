#pragma once

/// Checks that an answer is complete and belongs to the job that was sent.

#include "hawthornstall/core/job.hpp"
#include "hawthornstall/net/http_exchange.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace hawthornstall::tools {

/// How a submitted job ended, as its caller sees it.
enum class verdict : std::uint8_t {
    answered,
    refused_not_run,
    failed,
    may_have_run,
    not_sent,   ///< No connection, so the job cannot have reached an entry host.
    missing,    ///< Sent, but no complete answer arrived.
    unreadable, ///< The answer cannot be decoded as a job answer.
    partial,    ///< The number of results differs from the number of tasks.
    crossed,    ///< The answer holds the results or the identifier of another job.
};

/// Names of the verdicts in the output, indexed by verdict.
inline constexpr std::array<std::string_view, 9> verdict_names{
    "answered", "refused_not_run", "failed",  "may_have_run", "not_sent",
    "missing",  "unreadable",      "partial", "crossed"};

/// Whether `end` violates a guarantee of the system: each answer is complete, can be decoded and
/// belongs to the job that was sent.
[[nodiscard]] constexpr bool is_fault(verdict end) noexcept {
    return end >= verdict::missing;
}

/// Classifies the HTTP exchange of `job`. Expects targets that echo the payload of each task.
[[nodiscard]] verdict check_answer(const core::job_request& job,
                                   const net::exchange_result& result);

} // namespace hawthornstall::tools
