#pragma once

/// Options of an entry host that runs jobs on leased targets.

#include "hawthornstall/core/ms_clock.hpp"
#include "hawthornstall/discovery/host_record.hpp"
#include "hawthornstall/net/http_server.hpp"
#include "hawthornstall/net/peer_links.hpp"
#include "hawthornstall/runs/reservations.hpp"
#include "hawthornstall/runs/run_types.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace hawthornstall::runs {

/// Options of one entry host.
struct dispatch_options {
    net::peer_links::identity self;
    discovery::host_record host{};
    std::vector<std::string> zones{}; ///< Availability zones of the deployment, for operators.
    std::string caller_address{};     ///< "ip:port" that callers connect to.
    std::string readiness_address{};  ///< "ip:port" of the readiness check.
    net::http_server_limits limits;   ///< Of callers, until a configuration states others.
    std::vector<std::string> control_hosts{}; ///< Names of those to connect to first.
    std::string control_port_suffix{};        ///< ":port" at the end of control host names.
    run_bounds bounds;
    placement_policy placement = placement_policy::fit;
    std::uint64_t host_bits = 0; ///< Make this host's fencing tokens differ from all others.
    core::duration_ms shutdown_grace{6'000}; ///< Time limit of an orderly shutdown.
};

} // namespace hawthornstall::runs
