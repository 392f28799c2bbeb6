#pragma once

/// Settings of a host that is configured with a few control hosts, the seeds, and discovers all
/// other hosts.

#include "hawthornstall/core/log_level.hpp"
#include "hawthornstall/core/ms_clock.hpp"
#include "hawthornstall/settings/socket_address.hpp"

#include <absl/status/statusor.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace hawthornstall::settings {

/// Values of `placement`.
enum class placement_choice : std::uint8_t { fit, reserve, backfill };

/// Settings of one host, entry or control.
struct seeded_settings {
    std::string name;
    std::string zone;
    std::string ip;                       ///< Address at which other hosts reach this one.
    std::optional<std::string> listen_ip; ///< Address to listen on for peers; default `ip`.
    double cpu_share = 1.0;               ///< Share of a core, used as the host's weight.
    std::uint16_t control_peer_port = 0;  ///< Peer port of every control host.
    std::uint16_t entry_peer_port = 0;    ///< Peer port of every entry host.
    std::vector<socket_address> seeds;    ///< Operator addresses of some control hosts.
    std::vector<std::string> zones; ///< Availability zones of the deployment; empty: not known.
    bool may_found = false;         ///< Whether the host may create the cluster; true
                                    ///< only at the first start of the whole system.
    std::optional<socket_address> caller_address;
    std::optional<socket_address> readiness_address;
    std::optional<socket_address> operator_address;
    std::optional<socket_address> metrics_address; ///< Metrics are not served without it.
    std::optional<std::string> data_folder;
    core::duration_ms longest_lease{1'000}; ///< Targets cap longer leases at this.
    core::duration_ms stop_time{50};        ///< Longest time that a target takes to stop a run.
    core::duration_ms resubmission_delay{1'300}; ///< After it callers submit a lost job again.
    /// How waiting tasks that fit nowhere influence the placement of others: "fit" (not at all),
    /// "reserve" (a target is kept free for them) or "backfill" (the same, but used meanwhile).
    placement_choice placement = placement_choice::fit;
    std::uint64_t memory_mb = 120;      ///< Memory of the machine.
    std::uint64_t file_descriptors = 0; ///< That the process may open; 0: as the system says.
    /// Bytes that are held for clients on the address for callers or operators; 0: a quarter of the
    /// memory.
    std::uint64_t max_client_bytes = 0;
    /// Connections of clients on that address; 0: half of the descriptors beyond 200.
    std::uint64_t max_client_connections = 0;
    double shutdown_grace_s = 6.0; ///< Seconds between the request to shut down and the kill.
    core::log_level level = core::log_level::info;

    bool operator==(const seeded_settings&) const = default;
};

/// Checks the document as a whole; the error lists every problem with its path.
[[nodiscard]] absl::StatusOr<seeded_settings> parse_seeded_settings(std::string_view text);

/// Reads and checks the file at `path`.
[[nodiscard]] absl::StatusOr<seeded_settings> load_seeded_settings(std::string_view path);

} // namespace hawthornstall::settings
