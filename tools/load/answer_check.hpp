#pragma once

/// Judges whether an answer is the whole answer to the job that was sent.

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
    not_sent,   ///< No connection; the job provably did not reach an entry host.
    missing,    ///< Sent, and no whole answer came back.
    unreadable, ///< An answer that is not a job answer.
    partial,    ///< Fewer or more results than tasks.
    crossed,    ///< Results or an identifier of another job.
};

/// Names of the verdicts, indexed by verdict.
inline constexpr std::array<std::string_view, 9> verdict_names{
    "answered", "refused_not_run", "failed",  "may_have_run", "not_sent",
    "missing",  "unreadable",      "partial", "crossed"};

/// Whether `end` breaks a promise of the system (an answer is whole, clear and one's own).
[[nodiscard]] constexpr bool is_fault(verdict end) noexcept {
    return end >= verdict::missing;
}

/// Judges `result` as the end of `job`, whose targets echo each payload.
[[nodiscard]] verdict judge(const core::job_request& job, const net::exchange_result& result);

} // namespace hawthornstall::tools
