#pragma once

/// Routes from host names and path prefixes to queues.

#include "hawthornstall/runs/job.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace hawthornstall::runs {

/// A host name and a path prefix, with the scheduling parameters of the jobs submitted there.
struct job_route {
    std::string name{};
    std::string host{};
    std::string path_prefix{};
    job_terms terms{}; ///< `deadline` is the longest deadline that a caller may set.

    bool operator==(const job_route&) const = default;
};

/// Limits on the requests of callers, as the configuration states them; 0: not stated.
struct caller_limits {
    std::uint64_t max_header_bytes = 0;
    std::uint64_t max_body_bytes = 0;
    core::duration_ms idle_time{}; ///< Inactivity after which a connection may be closed.

    bool operator==(const caller_limits&) const = default;
};

/// All routes of one version of the configuration.
struct route_table {
    std::uint64_t version = 0; ///< 0: no configuration yet.
    caller_limits limits{};
    std::vector<job_route> routes{};

    /// The route of `host` with the longest prefix that `path` begins with, or null.
    [[nodiscard]] const job_route* find(std::string_view host, std::string_view path) const;
};

} // namespace hawthornstall::runs
