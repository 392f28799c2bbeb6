#pragma once

/// Requests of callers that arrive before the first configuration.

#include "hawthornstall/core/ms_clock.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace hawthornstall::runs {

/// Keeps the requests that wait for the first configuration. Does no I/O. After a loss of all hosts
/// callers connect as soon as an entry host listens, but the configuration arrives only once the
/// control hosts have elected a leader. Requests wait for it briefly, since a refused caller
/// retries after a second at the earliest.
class early_requests {
public:
    /// Longest time that a request waits. It exceeds the time of a start and an election without
    /// faults.
    static constexpr core::duration_ms max_wait{500};

    /// Limit of waiting requests, which bounds their memory; further requests are not kept.
    static constexpr std::size_t max_requests = 1'024;

    /// Keeps a request that arrived at `arrived`. Returns false when it has waited for `max_wait`
    /// already or when `max_requests` of them wait.
    [[nodiscard]] bool keep(std::uint64_t request, core::time_ms arrived, core::time_ms now) {
        return now - arrived < max_wait && arrivals_.size() < max_requests &&
               arrivals_.emplace(request, arrived).second;
    }

    /// Removes a request and returns when it arrived; empty when it did not wait.
    std::optional<core::time_ms> take(std::uint64_t request) {
        const auto found = arrivals_.find(request);
        if (found == arrivals_.end()) {
            return std::nullopt;
        }
        const auto arrived = found->second;
        arrivals_.erase(found);
        return arrived;
    }

    /// Waiting requests that arrived at `time` or earlier, in the order of their numbers.
    [[nodiscard]] std::vector<std::uint64_t> arrived_by(core::time_ms time) const {
        std::vector<std::uint64_t> requests;
        for (const auto& [request, arrived] : arrivals_) {
            if (arrived <= time) {
                requests.push_back(request);
            }
        }
        return requests;
    }

private:
    std::map<std::uint64_t, core::time_ms> arrivals_; ///< By number of the request.
};

} // namespace hawthornstall::runs
