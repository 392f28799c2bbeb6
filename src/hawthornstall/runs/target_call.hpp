#pragma once

/// Calls from a lease holder to a target and their answers, independent of their encoding.

#include "hawthornstall/core/ms_clock.hpp"
#include "hawthornstall/runs/run_types.hpp"

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace hawthornstall::runs {

/// Starts a run. Idempotent: starting the same run again has no effect.
struct start_call {
    run_name run{};
    std::string specification{};
    std::int64_t lease_until_ms = 0; ///< On the target's clock.
};

/// Stops a run, or prevents it from starting if the start arrives later.
struct stop_call {
    run_name run{};
};

/// Asks which runs execute and which have ended, and renews the lease of all runs on the target.
struct list_call {
    std::uint64_t ends_seen = 0; ///< Acknowledges ends up to this number; the target drops them.
    std::optional<std::int64_t> lease_until_ms{}; ///< On the target's clock.
    core::duration_ms wait{}; ///< Long poll: how long the target may wait for an end.
};

using target_request = std::variant<start_call, stop_call, list_call>;

/// One call to a target.
struct target_call {
    std::uint64_t number = 0; ///< Matches the answer to the call.
    std::string target{};
    std::string address{};
    std::uint64_t fencing_token = 0;
    core::duration_ms timeout{};
    target_request request{};
};

/// Event name of an answered request in logs and metrics.
[[nodiscard]] constexpr std::string_view answered_event(const target_request& request) {
    constexpr std::array<std::string_view, 3> names{"start_answered", "stop_answered",
                                                    "listing_answered"};
    return names.at(request.index());
}

/// Name of the call in log records.
[[nodiscard]] constexpr std::string_view call_name(const target_request& request) {
    constexpr std::array<std::string_view, 3> names{"start", "stop", "listing"};
    return names.at(request.index());
}

/// The end of a run, as a target lists it.
struct listed_end {
    std::uint64_t number = 0; ///< Grows within one incarnation of the target.
    run_name run{};
    run_end end = run_end::failed;
};

/// The runs on a target that execute, and those that ended and are not acknowledged yet.
struct run_listing {
    std::uint64_t incarnation = 0; ///< 0 when not given.
    std::vector<run_name> running{};
    std::vector<listed_end> ended{};
};

/// Why a call failed.
enum class call_fault : std::uint8_t {
    fenced,            ///< Another holder has used a higher fencing token; the call had no effect.
    rejected,          ///< The target refused the call, which had no effect.
    overloaded,        ///< The target reported itself unhealthy; the call had no effect.
    other_incarnation, ///< The address belongs to another incarnation; the call had no effect.
    not_delivered,     ///< The call never left this host.
    unanswered,        ///< The call may have been executed, or may be executed later.
};

/// Answer to a call.
struct call_answer {
    std::optional<call_fault> fault{};
    std::optional<std::int64_t> clock_ms{}; ///< The target's clock when it answered.
    run_listing listing{};                  ///< For a list_call without a fault.
    std::string reason{};                   ///< For logs.
};

} // namespace hawthornstall::runs
