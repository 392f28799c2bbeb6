#pragma once

/// Requests of callers that arrive before the first configuration.

#include "hawthornstall/core/ms_clock.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace hawthornstall::runs {

/// State without I/O. After a loss of all hosts callers connect as soon as an entry host listens,
/// but the configuration arrives only once the control hosts have elected a leader. Calls wait for
/// it briefly, since a refused caller retries after a second at the earliest.
class early_calls {
public:
    /// Longest time that a call waits. It exceeds the time of a start and an election without
    /// faults.
    static constexpr core::duration_ms max_wait{500};

    /// Limit of waiting calls, which bounds their memory; further calls are not kept.
    static constexpr std::size_t max_calls = 1'024;

    /// Keeps a call that arrived at `arrived`. Returns false when it has waited for `max_wait`
    /// already or when `max_calls` calls wait.
    [[nodiscard]] bool keep(std::uint64_t call, core::time_ms arrived, core::time_ms now) {
        return now - arrived < max_wait && arrivals_.size() < max_calls &&
               arrivals_.emplace(call, arrived).second;
    }

    /// Removes a call and returns when it arrived; empty when it did not wait.
    std::optional<core::time_ms> take(std::uint64_t call) {
        const auto found = arrivals_.find(call);
        if (found == arrivals_.end()) {
            return std::nullopt;
        }
        const auto arrived = found->second;
        arrivals_.erase(found);
        return arrived;
    }

    /// Waiting calls that arrived at `time` or earlier, in the order of their numbers.
    [[nodiscard]] std::vector<std::uint64_t> arrived_by(core::time_ms time) const {
        std::vector<std::uint64_t> calls;
        for (const auto& [call, arrived] : arrivals_) {
            if (arrived <= time) {
                calls.push_back(call);
            }
        }
        return calls;
    }

private:
    std::map<std::uint64_t, core::time_ms> arrivals_; ///< Time of arrival, by number of the call.
};

} // namespace hawthornstall::runs
