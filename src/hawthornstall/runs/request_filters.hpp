#pragma once

/// Filters that find the queue of a caller's request and check its job.

#include "hawthornstall/core/error.hpp"
#include "hawthornstall/discovery/check_target.hpp"
#include "hawthornstall/net/http_server.hpp"
#include "hawthornstall/runs/job.hpp"
#include "hawthornstall/runs/route_table.hpp"

#include <absl/status/statusor.h>

#include <cstdint>
#include <string_view>

namespace hawthornstall::runs {

/// Largest resource request of one task. No target has more.
constexpr core::resources max_request = discovery::max_capacity;

/// Most work in one job, in thousandths of a core times ms. The sum over thousands of jobs stays
/// within 64 bits.
constexpr std::int64_t max_work = std::int64_t{1} << 50U;

/// A request as it arrived, with the current routes.
struct unrouted_request {
    const net::http_request* request = nullptr;
    const route_table* routes = nullptr;
};

/// A request whose route is known.
struct routed_request {
    const net::http_request* request = nullptr;
    const job_route* route = nullptr;
    std::string_view job_id; ///< Rest of the path after the route's prefix.
};

/// Host name without a port.
[[nodiscard]] inline std::string_view without_port(std::string_view host) {
    return host.substr(0, host.find(':'));
}

/// Filter: finds the route of a request by host name and path. Fails as unavailable before the
/// first configuration.
struct find_route {
    absl::StatusOr<routed_request> operator()(const unrouted_request& call) const {
        constexpr core::error_origin origin{.step = "find_route", .peer = {}};
        if (call.routes->version == 0) {
            return core::make_error(absl::StatusCode::kUnavailable, origin,
                                    "this host has no configuration yet");
        }
        const auto host = without_port(call.request->header("Host"));
        const auto path = call.request->path;
        const auto* const route = call.routes->find(host, path);
        if (route == nullptr) {
            return core::make_error(absl::StatusCode::kNotFound, origin,
                                    "no route has this host and path");
        }
        return routed_request{call.request, route, path.substr(route->path_prefix.size())};
    }
};

/// Checks that the numbers of a job are within their limits and that its steps depend on earlier
/// steps only.
[[nodiscard]] absl::Status check_job(const job_request& job);

} // namespace hawthornstall::runs
